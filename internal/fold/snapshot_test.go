package fold_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// script returns records of all kinds, valid and void ones, in one order per
// seed. Every tenth record repeats an earlier id (F7).
func script(seed uint64, n int) []record.Envelope {
	r := rand.New(rand.NewPCG(seed, 1))
	out := make([]record.Envelope, 0, n)
	base := platform.Offset(0)
	for i := range n {
		if i > 0 && i%10 == 0 {
			out = append(out, out[r.IntN(i)])
			continue
		}
		body := randomBody(r, base)
		if body.Kind() == record.KindConfigChange {
			base = platform.Offset(i + 1)
		}
		data, _ := json.Marshal(body)
		out = append(out, record.Envelope{ID: fmt.Sprint(seed, "-", i), Kind: body.Kind(), Body: data})
	}
	return out
}

func randomBody(r *rand.Rand, base platform.Offset) record.Body {
	instance := fmt.Sprint("i", r.IntN(5))
	ref := record.InstanceRef{Instance: instance, Incarnation: fmt.Sprint("x", r.IntN(2))}
	digests := []string{fmt.Sprint("d", r.IntN(9)), fmt.Sprint("d", r.IntN(9))}
	switch r.IntN(8) {
	case 0, 1:
		return record.ConfigChange{Base: base - platform.Offset(r.IntN(5)/4), Changes: []record.EntryChange{
			{Section: record.SectionPools, ID: "p", Value: json.RawMessage(`{"kind":"engine"}`)},
			{Section: record.SectionModels, ID: "m", Value: json.RawMessage(`{"pool":"p","max_replicas":2}`)},
			{Section: record.SectionTeams, ID: "t", Value: json.RawMessage(`{"burst_tokens":1}`)},
			{Section: record.SectionKeys, ID: fmt.Sprint("k", r.IntN(4)), Value: json.RawMessage(fmt.Sprintf(`{"team":"t","sha256":"%d"}`, r.IntN(6)))},
		}}
	case 2, 3:
		return record.MemberJoin{Instance: instance, Incarnation: ref.Incarnation, Role: record.RoleAgent, DataCentre: "a"}
	case 4:
		reasons := []record.GoneReason{record.GoneDrained, record.GoneSilent, record.GoneRemoved}
		return record.MemberGone{Instance: instance, Incarnation: ref.Incarnation, Reason: reasons[r.IntN(3)]}
	case 5:
		return record.PlaceHomes{Entries: []record.HomeAssignment{{Checkpoint: "m", Base: 0, Homes: []record.InstanceRef{ref}}}}
	case 6:
		return record.PlaceReleased{Home: ref, Checkpoints: []string{"m"}}
	default:
		return record.PoisonCrash{CrashID: fmt.Sprint(r.IntN(99)), Agent: ref, Digests: digests}
	}
}

func applyAll(v *fold.View, records []record.Envelope) *fold.View {
	for _, e := range records {
		v, _ = v.Apply(v.Offset+1, e)
	}
	return v
}

// TestSnapshotContinues guards against state that a snapshot loses: a view
// restored at any cut, and the original, must agree on the rest of the stream.
func TestSnapshotContinues(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		records := script(seed, 300)
		cut := int(seed) * 15
		head := applyAll(fold.Empty(), records[:cut])
		chunks, err := head.Snapshot()
		is.NoErr(err)
		slices.Reverse(chunks)
		restored, err := fold.Restore(append(chunks, chunks[0]))
		is.NoErr(err)
		a, err := applyAll(head, records[cut:]).Digest()
		is.NoErr(err)
		b, err := applyAll(restored, records[cut:]).Digest()
		is.NoErr(err)
		again, err := applyAll(fold.Empty(), records).Digest()
		is.NoErr(err)
		is.Equal(a, b)     // the restored view agrees
		is.Equal(a, again) // the fold is deterministic
	}
}

// TestDuplicateIDs guards H12 and F7 at the fold: a repeated record changes
// nothing but the offset, within a generation of ids and across its change.
func TestDuplicateIDs(t *testing.T) {
	is := is.New(t)
	v := fold.Empty()
	join := record.MemberJoin{Instance: "i", Incarnation: "x", Role: record.RoleEntry}
	data, _ := json.Marshal(join)
	first := record.Envelope{ID: "first", Kind: join.Kind(), Body: data}
	v, verdict := v.Apply(1, first)
	is.True(verdict.Applied)
	for i := range 4096 + 100 {
		v, _ = v.Apply(v.Offset+1, record.Envelope{ID: fmt.Sprint(i), Kind: "none"})
	}
	gone := record.MemberGone{Instance: "i", Incarnation: "x", Reason: record.GoneDrained}
	data, _ = json.Marshal(gone)
	v, _ = v.Apply(v.Offset+1, record.Envelope{ID: "gone", Kind: gone.Kind(), Body: data})
	v, verdict = v.Apply(v.Offset+1, first)
	is.True(!verdict.Applied)
	is.Equal(v.Members.Len(), 0)
}

// TestBadSnapshots guards against starting from a snapshot that is not whole.
func TestBadSnapshots(t *testing.T) {
	is := is.New(t)
	v := applyAll(fold.Empty(), script(1, 100))
	for i := range 3000 {
		v, _ = v.Apply(v.Offset+1, record.Envelope{ID: fmt.Sprintf("%x", rand.New(rand.NewPCG(uint64(i), 9)).Uint64()) + "-0123456789abcdef-0123456789"})
	}
	whole, err := v.Snapshot()
	is.NoErr(err)
	flipped := slices.Clone(whole)
	flipped[0].Data = append([]byte{flipped[0].Data[0] ^ 1}, flipped[0].Data[1:]...)
	version := slices.Clone(whole)
	version[0].Version++
	offset := slices.Clone(whole)
	for i := range offset {
		offset[i].Offset++
	}
	for name, chunks := range map[string][]fold.Chunk{
		"none": nil, "first missing": whole[1:], "corrupt": flipped, "other version": version, "wrong offset": offset,
	} {
		_, err := fold.Restore(chunks)
		is.True(errors.Is(err, fold.ErrBadSnapshot)) // every damage is found
		t.Log(name, err)
	}
}

// TestSuspectsBounded guards the memory of every instance against a flood of
// crashing requests (F10), and a known poison request against eviction by it.
func TestSuspectsBounded(t *testing.T) {
	is := is.New(t)
	v := fold.Empty()
	crash := func(id string, digests ...string) fold.Verdict {
		data, _ := json.Marshal(record.PoisonCrash{CrashID: id, Digests: digests})
		next, verdict := v.Apply(v.Offset+1, record.Envelope{ID: id, Kind: record.KindPoisonCrash, Body: data})
		v = next
		return verdict
	}
	crash("p1", "poison")
	crash("p2", "poison")
	for i := range 5 {
		many := make([]string, fold.MaxCrashDigests)
		for j := range many {
			many[j] = fmt.Sprint(i, "-", j)
		}
		is.True(crash(fmt.Sprint("c", i), many...).Applied)
	}
	is.Equal(v.Suspects.Len(), fold.MaxSuspects)
	poison, _ := v.Suspects.Get("poison")
	is.True(poison.Quarantined())
	_, oldest := v.Suspects.Get("0-0")
	is.True(!oldest)                                                          // the oldest made room
	is.True(!crash("big", make([]string, fold.MaxCrashDigests+1)...).Applied) // an oversized report is void
}
