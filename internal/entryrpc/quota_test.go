package entryrpc

import (
	"net"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/admission"
	"github.com/jacinthbend/jacinthbend/internal/fleet"
	"github.com/jacinthbend/jacinthbend/internal/peer"
	"github.com/jacinthbend/jacinthbend/internal/tokenquota"
)

// TestBookOverTheWire guards against a booking that is made, told or found again otherwise than the
// holder says, because a field is lost between instances; and against a caller that is refused since
// the holder of its booking does not answer.
func TestBookOverTheWire(t *testing.T) {
	check := is.New(t)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	check.NoErr(err)
	view := &fleet.View{Members: map[string]fleet.Member{
		"holder": {Name: "holder", Role: fleet.RoleEntry, Addr: ln.Addr().String()},
		"gone":   {Name: "gone", Role: fleet.RoleEntry, Addr: "127.0.0.1:1"},
	}}
	const window = 600 * time.Millisecond
	lender := tokenquota.NewLimiter("holder", tokenquota.Bounds{Window: window}, nil)
	lender.Configure(&fleet.Config{Version: 1, Teams: []fleet.Team{{Name: "t", Rate: 1, Burst: 1000}}}, []string{"holder"})
	go func() { // a store that takes each checkpoint
		for range lender.CheckpointDue() {
			lender.Confirm(lender.Checkpoint())
		}
	}()
	check.True(lender.Take(t.Context(), "t", 500).Allowed)
	server := peer.NewServer(ln, peer.ServerOptions{MaxBodyBytes: 1 << 20, WriteTimeout: time.Second})
	Register(server.Engine, lender, nil, nil, nil)
	go func() { _ = server.Run() }()
	t.Cleanup(func() { _ = server.Close() })
	client, err := NewClient("borrower", func() *fleet.View { return view })
	check.NoErr(err)

	r := tokenquota.NewRequest(admission.Ask{Tokens: 700, Urgency: 2, Digest: 1 << 63, Longest: time.Second, Returns: 2 * time.Second})
	check.Equal(newQuotaAsk(r.Ask).ask(), r.Ask)
	r.Urgency = 0 // so that the tokens spent above have no reserve
	holders := tokenquota.HolderList{All: []string{"holder", "gone"}, First: []string{"gone", "holder"}}
	got := client.Borrow(t.Context(), "t", r, holders)
	check.True(got.HolderAnswered && !got.Booked && !got.Known)
	check.Equal(len(got.Loans), 1)
	_, err = client.Book(t.Context(), "t", tokenquota.BookRequest{Ask: r.Ask, Piece: 700}, "gone")
	check.True(err != nil)
	booked, err := client.Book(t.Context(), "t", tokenquota.BookRequest{Ask: r.Ask, Piece: 700, Returned: got.Loans[0].Tokens}, "holder")
	check.NoErr(err)
	check.True(booked.Holder && booked.Booked)
	early := client.Borrow(t.Context(), "t", r, holders)
	check.True(early.Booked && early.Known && early.Late < 0 && early.Wait <= booked.Wait)
	time.Sleep(booked.Wait)
	back := client.Borrow(t.Context(), "t", r, holders)
	check.True(back.Known && back.Kept && back.Late >= 0)
	check.True(back.Loans[0].Tokens >= 700)
}
