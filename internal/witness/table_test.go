package witness

import (
	"encoding/json"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// TestTable guards against records that are replaced by older ones or by those of an earlier start,
// kept too long, or kept without a bound.
func TestTable(t *testing.T) {
	check := is.New(t)
	now := time.Hour
	table := NewTable("a", 8*time.Second, func() time.Duration { return now })
	write := func(r Record) WriteResponse {
		resp, err := table.Write(r)
		check.NoErr(err)
		return resp
	}
	record := func(start, sequence uint64, covers ...uint64) Record {
		return Record{Instance: "e", Start: start, Sequence: sequence, Sets: [][]string{{"a"}}, Covers: covers, Quota: json.RawMessage(`{}`), Usage: json.RawMessage(`1`)}
	}
	write(record(1, 2))
	write(record(1, 1)) // arrives late
	check.Equal(table.Read(ReadRequest{Instance: "e"}).Records[0].Sequence, uint64(2))
	now += time.Second
	write(record(2, 1, 1))
	check.True(write(record(1, 3)).Superseded)
	records := table.Read(ReadRequest{UsageOnly: true}).Records
	check.Equal(len(records), 2) // the earlier start's usage still counts
	check.Equal(records[0].Sequence, uint64(2))
	check.Equal(records[0].AgeMS, int64(1000))
	check.Equal(records[0].LeaseAgeMS, int64(-1))
	check.Equal(len(records[0].Quota), 0)
	check.Equal(string(records[0].Usage), "1")
	now += 17 * time.Second
	check.Equal(table.Len(), 0)
	check.Equal(table.Read(ReadRequest{}).UptimeMS, int64(18000))

	large := record(3, 1)
	large.Usage = json.RawMessage(strings.Repeat("1", MaxRecordBytes))
	_, err := table.Write(large)
	check.True(err != nil)
	large.Usage = large.Usage[:MaxRecordBytes-len(large.Quota)]
	taken := 0
	for i := range 2 * maxTableBytes / MaxRecordBytes {
		large.Instance = fmt.Sprint("e", i)
		if _, err := table.Write(large); err == nil {
			taken++
		}
	}
	check.Equal(taken, maxTableBytes/MaxRecordBytes)
}

// TestDelayedRecord guards against a record that seems to be recent because it reached its witness
// late.
func TestDelayedRecord(t *testing.T) {
	check := is.New(t)
	now := time.Hour
	table := NewTable("a", 8*time.Second, func() time.Duration { return now })
	now += 10 * time.Second
	lease := map[string]Mark{"a": table.mark(now)}
	now += 5 * time.Second // the instance or the link stands still
	_, err := table.Write(Record{Instance: "e", Start: 1, Sequence: 2, Sets: [][]string{{"a"}}, Lease: lease, Quota: json.RawMessage(`{}`)})
	check.NoErr(err)
	resp := table.Read(ReadRequest{Instance: "e"})
	check.Equal(resp.Records[0].AgeMS, int64(0))
	check.True(resp.Records[0].LeaseAgeMS >= 5000)
	check.Equal(decide(map[string]answer{"a": {ReadResponse: resp}}, []string{"a"}).Reason, reasonExpired)
}

// TestChoose guards against witnesses that one data centre takes with it, and against instances that
// all choose the same.
func TestChoose(t *testing.T) {
	check := is.New(t)
	members := map[string]fleet.Member{"entry": {Name: "entry", Role: fleet.RoleEntry}}
	const agents, instances = 30, 100
	for i := range agents {
		name := fmt.Sprint("agent-", i)
		members[name] = fleet.Member{Name: name, Role: fleet.RoleAgent, DataCentre: fmt.Sprint(i % 3)}
	}
	chosen := make(map[string]int)
	for i := range instances {
		dcs := make(map[string]bool)
		for _, m := range Choose(fmt.Sprint("entry-", i), members, func(string) bool { return false }) {
			dcs[m.DataCentre] = true
			chosen[m.Name]++
		}
		check.Equal(len(dcs), setSize)
	}
	for _, n := range chosen {
		check.True(n <= 3*setSize*instances/agents)
	}
	first := Choose("entry", members, func(string) bool { return false })[0].Name
	for _, m := range Choose("entry", members, func(name string) bool { return name == first }) {
		check.True(m.Name != first)
	}
	check.Equal(len(Choose("entry", members, func(string) bool { return true })), 0)
}
