package entryrpc

import (
	"context"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/admission"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
	"github.com/jacinthbend/jacinthbend/internal/topicwatch"
)

// staleCache never has fresh records.
type staleCache struct{}

func (staleCache) Snapshot(topicwatch.Name) (topicwatch.Page, bool) {
	return topicwatch.Page{}, false
}

func (staleCache) ReadLocal(context.Context, topicwatch.Name, topicwatch.Position, time.Duration, time.Duration) (topicwatch.Page, bool) {
	return topicwatch.Page{}, false
}

// TestStaleRelayLends guards against a team within its rate that is refused, because the holder of its
// quota is also a relay whose records are not fresh, and is not called for that.
func TestStaleRelayLends(t *testing.T) {
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	view := &fleet.View{Members: map[string]fleet.Member{
		"a": {Name: "a", Role: fleet.RoleEntry, Addr: ln.Addr().String(), CPUShare: 1},
		"b": {Name: "b", Role: fleet.RoleEntry, Addr: "127.0.0.1:1", CPUShare: 0.1},
	}}
	lender := tokenquota.NewLimiter("a", tokenquota.Bounds{Window: time.Second}, nil)
	lender.Configure(&fleet.Config{Version: 1, Teams: []fleet.Team{{Name: "t", Rate: 1, Burst: 1000}}}, []string{"a"})
	go func() { // a store that takes each checkpoint
		for range lender.CheckpointDue() {
			lender.Confirm(lender.Checkpoint())
		}
	}()
	server := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	Register(server.Engine, lender, staleCache{}, nil, nil)
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.Close() })
	client, err := NewClient("b", func() *fleet.View { return view })
	check.NoErr(err)

	_, result := client.ReadFromRelay(t.Context(), topicwatch.Upstreams, topicwatch.Position{}, 0)
	check.Equal(result, topicwatch.RelayFailed)
	_, usable := client.relay(topicwatch.Upstreams)
	check.True(!usable) // the store is read instead
	got := client.Borrow(t.Context(), "t", tokenquota.NewRequest(admission.Ask{Tokens: 100}), tokenquota.HolderList{All: []string{"a"}})
	check.True(got.HolderAnswered)
	check.Equal(len(got.Loans), 1)
}
