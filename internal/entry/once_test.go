package entry

import (
	"context"
	"net/http"
	"testing"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/cowmap"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// TestOnce guards against an at-most-once call that is dispatched after its key
// was withdrawn (H6), is sent to the agent with the caller's key instead of its
// team (H5), or is charged although it was not sent.
func TestOnce(t *testing.T) {
	rows := []struct {
		name        string
		withdraw    bool
		agentLeaves bool
		kind        errkind.Kind
		requests    int
		// tokens is the expected charge of each settlement; a served call is not
		// settled, so that it keeps the reserved charge.
		tokens float64
	}{
		{"served", false, false, "", 1, -1},
		{"key withdrawn before the dispatch", true, false, errkind.KeyWithdrawn, 0, 0},
		{"agent left before the dispatch", false, true, errkind.UpstreamUnavailable, 0, 0},
	}
	for _, row := range rows {
		t.Run(row.name, func(t *testing.T) {
			check := is.New(t)
			env := newTestEnv(t)
			v := *env.View()
			agent := controlstate.Member{MemberJoin: record.MemberJoin{Instance: "a", Incarnation: "i"}}
			v.Members = cowmap.FromMap(map[string]controlstate.Member{"a": agent})
			env.view.Store(&v)
			env.mu.Lock()
			env.doOnce = func(ctx context.Context, d atmostonce.Dispatcher) (atmostonce.Result, error) {
				next := v
				if row.withdraw {
					next.Keys = cowmap.FromMap(map[string]config.Key{})
				}
				if row.agentLeaves {
					next.Members = cowmap.FromMap(map[string]controlstate.Member{})
				}
				env.view.Store(&next)
				return d.Send(ctx, atmostonce.Permit{Attempt: "t1", Target: agent.Ref()})
			}
			env.mu.Unlock()
			r := env.send(t, http.MethodPost, "/svc/buy/x", "{}", map[string]string{headerIdempotencyKey: "0197f4a0-0000-7000-8000-000000000001"})
			check.Equal(r.Error.Kind, row.kind)
			check.Equal(len(env.sentRequests()), row.requests)
			for _, r := range env.sentRequests() {
				check.True(r.Once && !r.Repeatable && !r.Stream)
				check.Equal(r.Team, "own")
				check.Equal(r.Class, dispatch.ClassNormal)
			}
			for _, tokens := range env.chargedTokens() {
				check.Equal(tokens, row.tokens)
			}
		})
	}
}
