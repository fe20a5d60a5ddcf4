package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// Once runs each call at most once.
type Once interface {
	Do(ctx context.Context, id atmostonce.CallID, digest atmostonce.Digest, d atmostonce.Dispatcher) (atmostonce.Result, error)
	Status(ctx context.Context, id atmostonce.CallID) (atmostonce.CallState, error)
}

// openTeam is the team id recorded for calls on open routes, which need no API
// key.
// It is not a valid team id, so these calls cannot collide with those of a team.
const openTeam = "(open)"

// callID returns the id of an at-most-once call: its team and idempotency key.
func callID(info *requestInfo, key string) (atmostonce.CallID, error) {
	canonical, _, err := atmostonce.ParseKey(key)
	if err != nil {
		return atmostonce.CallID{}, err
	}
	team := info.team
	if team == "" {
		team = openTeam
	}
	return atmostonce.CallID{Team: team, Key: canonical}, nil
}

// runOnce runs a call that must not run twice. The call continues when the caller
// disconnects, because its outcome has to be recorded.
func (e *Entry) runOnce(ctx context.Context, c *app.RequestContext, info *requestInfo, s serviceCall) {
	key := c.Request.Header.Get(headerIdempotencyKey)
	if key == "" {
		e.respondError(c, info, errkind.New(errkind.InvalidRequest, headerIdempotencyKey+" is required on route "+s.routeID+", whose calls run at most once"))
		return
	}
	id, err := callID(info, key)
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), info.deadline)
	defer cancel()
	tokens := routeCost(s.route)
	settle, err := e.reserve(ctx, info, tokens)
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	done, err := e.Queue.Wait(ctx, QueuedRequest{Team: info.team, Class: info.class, Deadline: info.deadline, Tokens: tokens})
	if err != nil {
		settle(0)
		e.respondError(c, info, err)
		return
	}
	r := s.request
	r.Once, r.IdempotencyKey = true, id.Key
	if r.Team == "" {
		r.Team = openTeam
	}
	d := &onceDispatcher{entry: e, info: info, request: r}
	result, err := e.Once.Do(ctx, id, atmostonce.DigestOf(r.Method, r.Route+r.Path, r.Body), d)
	if !d.sent {
		tokens = 0
		settle(0)
	}
	done(DispatchResult{Tokens: tokens})
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	e.writeOnceResult(c, info, s, result)
}

func (e *Entry) writeOnceResult(c *app.RequestContext, info *requestInfo, s serviceCall, r atmostonce.Result) {
	if r.BodyOmitted {
		c.Header("X-Result-Omitted", "true")
	}
	c.Data(r.Status, r.ContentType, r.Body)
	e.stats.countServed(info.start, 0)
	e.Logger.Info("call served", zap.String("request_id", info.id), zap.String("team", info.team),
		zap.String("route", s.routeID), zap.String("upstream", info.upstream), zap.Duration("duration", time.Since(info.start)))
}

// onceDispatcher sends the attempts of one at-most-once call.
type onceDispatcher struct {
	entry   *Entry
	info    *requestInfo
	request dispatch.AttemptRequest
	sent    bool
}

var _ atmostonce.Dispatcher = (*onceDispatcher)(nil)

// Choose implements atmostonce.Dispatcher.
func (d *onceDispatcher) Choose(_ context.Context, tried []record.InstanceRef) (record.InstanceRef, error) {
	names := make([]string, len(tried))
	for i, ref := range tried {
		names[i] = ref.Instance
	}
	choice, err := d.entry.Router.Choose(d.entry.Fleet.View(), d.request, names)
	if err != nil {
		return record.InstanceRef{}, err
	}
	choice.Done(dispatch.End{}, nil)
	return choice.Member.Ref(), nil
}

// Send implements atmostonce.Dispatcher.
func (d *onceDispatcher) Send(ctx context.Context, permit atmostonce.Permit) (atmostonce.Result, error) {
	if d.entry.keyCheck(d.info)() != nil {
		return atmostonce.Result{}, errkind.New(errkind.KeyWithdrawn, "the key was withdrawn before the call was sent to an upstream")
	}
	target, err := liveMember(d.entry.Fleet.View(), permit.Target)
	if err != nil {
		return atmostonce.Result{}, err
	}
	r := d.request
	r.Attempt, r.Incarnation = permit.Attempt, permit.Target.Incarnation
	r.Offset = d.entry.Fleet.View().Offset
	r.Timeout = time.Until(d.info.deadline)
	if r.Timeout <= 0 {
		return atmostonce.Result{}, errkind.New(errkind.DeadlineUnmet, "the deadline passed before the call was sent to an upstream")
	}
	d.info.upstream = permit.Target.Instance
	d.sent = true
	var s bufferSink
	if _, err := d.entry.Dispatcher.Run(ctx, target.PeerAddr, r, &s); err != nil {
		return atmostonce.Result{}, err
	}
	return atmostonce.Result{Status: s.response.Status, ContentType: s.response.ContentType, Body: s.response.Body}, nil
}

func liveMember(v *controlstate.View, ref record.InstanceRef) (controlstate.Member, error) {
	m, ok := v.Members.Get(ref.Instance)
	if !ok || m.Incarnation != ref.Incarnation {
		return controlstate.Member{}, errkind.New(errkind.UpstreamUnavailable, "the agent "+ref.Instance+" has left the fleet")
	}
	return m, nil
}

// bufferSink keeps a response that is not streamed.
type bufferSink struct {
	response dispatch.WholeResponse
}

// Check implements dispatch.Sink. It never fails: an at-most-once call that was sent
// completes even if its API key is withdrawn. The team can look up the result
// with another API key.
func (s *bufferSink) Check() error { return nil }

// Data implements dispatch.Sink.
func (s *bufferSink) Data([]byte) error {
	return errkind.New(errkind.UpstreamFailed, "the upstream answered an at-most-once call with a stream")
}

// WholeResponse implements dispatch.Sink.
func (s *bufferSink) WholeResponse(w dispatch.WholeResponse) error {
	s.response = w
	return nil
}
