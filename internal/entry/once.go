package entry

import (
	"context"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"go.uber.org/zap"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/fold"
	"github.com/jacinthbend/jacinthbend/internal/once"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/work"
)

// Once runs calls at most once.
type Once interface {
	Do(ctx context.Context, id once.CallID, digest once.Digest, d once.Dispatcher) (once.Result, error)
	Status(ctx context.Context, id once.CallID) (once.CallState, error)
}

// openTeam stands for the team of calls on open routes, which carry no key. It
// is no valid team id, so it cannot meet a team's calls.
const openTeam = "(open)"

// identity returns what names the call among all calls that run at most once.
func identity(k *call, key string) (once.CallID, error) {
	canonical, _, err := once.ParseKey(key)
	if err != nil {
		return once.CallID{}, err
	}
	team := k.team
	if team == "" {
		team = openTeam
	}
	return once.CallID{Team: team, Key: canonical}, nil
}

// runOnce runs a call that may not be repeated. It goes on when the caller
// leaves, because its outcome has to be recorded.
func (e *Entry) runOnce(ctx context.Context, c *app.RequestContext, k *call, s serviceCall) {
	key := c.Request.Header.Get(headerIdempotencyKey)
	if key == "" {
		e.refuse(c, k, errkind.New(errkind.InvalidRequest, headerIdempotencyKey+" is required on route "+s.routeID+": its calls run at most once"))
		return
	}
	id, err := identity(k, key)
	if err != nil {
		e.refuse(c, k, err)
		return
	}
	ctx, cancel := context.WithDeadline(context.WithoutCancel(ctx), k.deadline)
	defer cancel()
	tokens := cost(s.route)
	settle, err := e.reserve(ctx, k, tokens)
	if err != nil {
		e.refuse(c, k, err)
		return
	}
	done, err := e.Queue.Wait(ctx, Turn{Team: k.team, Class: k.class, Deadline: k.deadline, Tokens: tokens})
	if err != nil {
		settle(0)
		e.refuse(c, k, err)
		return
	}
	o := s.order
	o.Once, o.IdempotencyKey = true, id.Key
	if o.Team == "" {
		o.Team = openTeam
	}
	d := &onceDispatch{entry: e, call: k, order: o}
	result, err := e.Once.Do(ctx, id, once.DigestOf(o.Method, o.Route+o.Path, o.Body), d)
	if !d.sent {
		tokens = 0
		settle(0)
	}
	done(Served{Tokens: tokens})
	if err != nil {
		e.refuse(c, k, err)
		return
	}
	e.answerOnce(c, k, s, result)
}

func (e *Entry) answerOnce(c *app.RequestContext, k *call, s serviceCall, r once.Result) {
	if r.BodyOmitted {
		c.Header("X-Result-Omitted", "true")
	}
	c.Data(r.Status, r.ContentType, r.Body)
	e.stats.done(k.start, 0)
	e.Logger.Info("call served", zap.String("request_id", k.id), zap.String("team", k.team),
		zap.String("route", s.routeID), zap.String("upstream", k.upstream), zap.Duration("duration", time.Since(k.start)))
}

// onceDispatch sends the attempts of one call.
type onceDispatch struct {
	entry *Entry
	call  *call
	order work.Order
	sent  bool
}

var _ once.Dispatcher = (*onceDispatch)(nil)

// Choose implements once.Dispatcher.
func (d *onceDispatch) Choose(_ context.Context, tried []record.HomeRef) (record.HomeRef, error) {
	names := make([]string, len(tried))
	for i, ref := range tried {
		names[i] = ref.Instance
	}
	choice, err := d.entry.Router.Choose(d.entry.Fleet.View(), d.order, names)
	if err != nil {
		return record.HomeRef{}, err
	}
	choice.Done(work.End{}, nil)
	return choice.Member.Ref(), nil
}

// Send implements once.Dispatcher.
func (d *onceDispatch) Send(ctx context.Context, t once.Permit) (once.Result, error) {
	if d.entry.keyCheck(d.call)() != nil {
		return once.Result{}, errkind.New(errkind.KeyWithdrawn, "the key was withdrawn before the call was sent to an upstream")
	}
	target, err := liveMember(d.entry.Fleet.View(), t.Target)
	if err != nil {
		return once.Result{}, err
	}
	o := d.order
	o.Attempt, o.Incarnation = t.Attempt, t.Target.Incarnation
	o.Offset = d.entry.Fleet.View().Offset
	o.Timeout = time.Until(d.call.deadline)
	if o.Timeout <= 0 {
		return once.Result{}, errkind.New(errkind.DeadlineUnmet, "the deadline passed before the dispatch")
	}
	d.call.upstream = t.Target.Instance
	d.sent = true
	var s wholeSink
	if _, err := d.entry.Dispatcher.Run(ctx, target.PeerAddr, o, &s); err != nil {
		return once.Result{}, err
	}
	return once.Result{Status: s.whole.Status, ContentType: s.whole.ContentType, Body: s.whole.Body}, nil
}

func liveMember(v *fold.View, ref record.HomeRef) (fold.Member, error) {
	m, ok := v.Members.Get(ref.Instance)
	if !ok || m.Incarnation != ref.Incarnation {
		return fold.Member{}, errkind.New(errkind.UpstreamUnavailable, "the upstream of "+ref.Instance+" has left")
	}
	return m, nil
}

// wholeSink keeps an unstreamed answer.
type wholeSink struct {
	whole work.Whole
}

// Check implements work.Sink. A call that may not be repeated completes even
// if its key is withdrawn; the team can look its result up with another key.
func (s *wholeSink) Check() error { return nil }

// Data implements work.Sink.
func (s *wholeSink) Data([]byte) error {
	return errkind.New(errkind.UpstreamFailed, "the upstream answered with a stream")
}

// Whole implements work.Sink.
func (s *wholeSink) Whole(w work.Whole) error {
	s.whole = w
	return nil
}
