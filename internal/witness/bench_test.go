package witness

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// BenchmarkWrite reports the time of one call to a witness, with what 40 teams have spent in a window.
// With -cpu 1 it is the processor time of both ends together.
func BenchmarkWrite(b *testing.B) {
	check := is.New(b)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	h := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20})
	NewTable("a", 8*time.Second, BootTime).Register(h.Engine)
	go func() { _ = h.Run() }()
	c, err := NewClient()
	check.NoErr(err)
	q := Quota{Allotment: 1 << 60, Teams: make(map[string]TeamQuota)}
	for i := range 40 {
		team := TeamQuota{}
		for k := range 34 {
			team.Spent = append(team.Spent, float64(1000*(k%4)))
		}
		q.Teams[fmt.Sprint("team", i)] = team
	}
	bytes, sequence := 0, uint64(0)
	for b.Loop() {
		sequence++
		data, err := json.Marshal(q)
		check.NoErr(err)
		bytes = len(data)
		_, err = c.Write(context.Background(), ln.Addr().String(), Record{Instance: "e", Start: 1, Sequence: sequence, Sets: [][]string{{"a"}}, Quota: data})
		check.NoErr(err)
	}
	b.ReportMetric(float64(bytes), "bytes")
}
