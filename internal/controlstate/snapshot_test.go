package controlstate_test

import (
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// randomRecords returns n records of all kinds, some of which are rejected. The
// same seed gives the same records. Every tenth record repeats an earlier one
// with its id (F7).
func randomRecords(seed uint64, n int) []record.Envelope {
	r := rand.New(rand.NewPCG(seed, 1))
	out := make([]record.Envelope, 0, n)
	base := backing.Offset(0)
	for i := range n {
		if i > 0 && i%10 == 0 {
			out = append(out, out[r.IntN(i)])
			continue
		}
		body := randomBody(r, base)
		if body.Kind() == record.KindConfigChange {
			base = backing.Offset(i + 1)
		}
		data, _ := json.Marshal(body)
		out = append(out, record.Envelope{ID: fmt.Sprint(seed, "-", i), Kind: body.Kind(), Body: data})
	}
	return out
}

func randomBody(r *rand.Rand, base backing.Offset) record.Body {
	instance := fmt.Sprint("i", r.IntN(5))
	ref := record.InstanceRef{Instance: instance, Incarnation: fmt.Sprint("x", r.IntN(2))}
	digests := []string{fmt.Sprint("d", r.IntN(9)), fmt.Sprint("d", r.IntN(9))}
	switch r.IntN(8) {
	case 0, 1:
		return record.ConfigChange{Base: base - backing.Offset(r.IntN(5)/4), Changes: []record.EntryChange{
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

func applyAll(v *controlstate.View, records []record.Envelope) *controlstate.View {
	for _, e := range records {
		v, _ = v.Apply(v.Offset+1, e)
	}
	return v
}

// TestRestoredViewMatchesOriginal guards against state that is missing in a
// snapshot. A view is restored in the middle of the stream; after the remaining
// records it must equal the original view.
func TestRestoredViewMatchesOriginal(t *testing.T) {
	is := is.New(t)
	for seed := range uint64(20) {
		records := randomRecords(seed, 300)
		cut := int(seed) * 15
		original := applyAll(controlstate.Empty(), records[:cut])
		chunks, err := original.Snapshot()
		is.NoErr(err)
		slices.Reverse(chunks)
		restored, err := controlstate.Restore(append(chunks, chunks[0]))
		is.NoErr(err)
		fromOriginal, err := applyAll(original, records[cut:]).Digest()
		is.NoErr(err)
		fromRestored, err := applyAll(restored, records[cut:]).Digest()
		is.NoErr(err)
		replayed, err := applyAll(controlstate.Empty(), records).Digest()
		is.NoErr(err)
		is.Equal(fromOriginal, fromRestored) // restored and original view are equal
		is.Equal(fromOriginal, replayed)     // applying the records again gives the same view
	}
}

// TestDuplicateIDs guards H12 and F7: a record that is appended twice takes
// effect once, also when its id has moved to the old generation of recent ids.
func TestDuplicateIDs(t *testing.T) {
	is := is.New(t)
	v := controlstate.Empty()
	join := record.MemberJoin{Instance: "i", Incarnation: "x", Role: record.RoleEntry}
	data, _ := json.Marshal(join)
	first := record.Envelope{ID: "first", Kind: join.Kind(), Body: data}
	v, result := v.Apply(1, first)
	is.True(result.Applied)
	for i := range 4096 + 100 {
		v, _ = v.Apply(v.Offset+1, record.Envelope{ID: fmt.Sprint(i), Kind: "none"})
	}
	gone := record.MemberGone{Instance: "i", Incarnation: "x", Reason: record.GoneDrained}
	data, _ = json.Marshal(gone)
	v, _ = v.Apply(v.Offset+1, record.Envelope{ID: "gone", Kind: gone.Kind(), Body: data})
	v, result = v.Apply(v.Offset+1, first)
	is.True(!result.Applied)
	is.Equal(v.Members.Len(), 0)
}

// TestBadSnapshots guards against restoring an incomplete or corrupt snapshot.
func TestBadSnapshots(t *testing.T) {
	is := is.New(t)
	v := applyAll(controlstate.Empty(), randomRecords(1, 100))
	for i := range 3000 {
		v, _ = v.Apply(v.Offset+1, record.Envelope{ID: fmt.Sprintf("%x", rand.New(rand.NewPCG(uint64(i), 9)).Uint64()) + "-0123456789abcdef-0123456789"})
	}
	intact, err := v.Snapshot()
	is.NoErr(err)
	corrupt := slices.Clone(intact)
	corrupt[0].Data = append([]byte{corrupt[0].Data[0] ^ 1}, corrupt[0].Data[1:]...)
	otherVersion := slices.Clone(intact)
	otherVersion[0].Version++
	wrongOffset := slices.Clone(intact)
	for i := range wrongOffset {
		wrongOffset[i].Offset++
	}
	for name, chunks := range map[string][]controlstate.Chunk{
		"none": nil, "first missing": intact[1:], "corrupt": corrupt, "other version": otherVersion, "wrong offset": wrongOffset,
	} {
		_, err := controlstate.Restore(chunks)
		is.True(errors.Is(err, controlstate.ErrBadSnapshot)) // every defect is detected
		t.Log(name, err)
	}
}

// TestSuspectsBounded guards against a flood of crashing requests (F10): it must
// neither exhaust the memory of the instances nor evict a quarantined request.
func TestSuspectsBounded(t *testing.T) {
	is := is.New(t)
	v := controlstate.Empty()
	crash := func(id string, digests ...string) controlstate.ApplyResult {
		data, _ := json.Marshal(record.PoisonCrash{CrashID: id, Digests: digests})
		next, result := v.Apply(v.Offset+1, record.Envelope{ID: id, Kind: record.KindPoisonCrash, Body: data})
		v = next
		return result
	}
	crash("p1", "poison")
	crash("p2", "poison")
	for i := range 5 {
		digests := make([]string, controlstate.MaxCrashDigests)
		for j := range digests {
			digests[j] = fmt.Sprint(i, "-", j)
		}
		is.True(crash(fmt.Sprint("c", i), digests...).Applied)
	}
	is.Equal(v.Suspects.Len(), controlstate.MaxSuspects)
	poison, _ := v.Suspects.Get("poison")
	is.True(poison.Quarantined())
	_, oldest := v.Suspects.Get("0-0")
	is.True(!oldest)                                                                  // the oldest suspect was evicted
	is.True(!crash("big", make([]string, controlstate.MaxCrashDigests+1)...).Applied) // an oversized report is rejected
}
