package dispatch

import (
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
)

// AttemptRequest asks one agent to run one attempt of a caller's request.
type AttemptRequest struct {
	// Attempt is the id of the attempt. The response repeats it.
	Attempt string
	// Incarnation is the incarnation of the agent to which the entry instance sends
	// the request.
	Incarnation string
	Team        string
	// Checkpoint is set for requests to a model, and Route for requests to plain
	// services. Exactly one of them is set.
	Checkpoint string
	Route      string
	Method     string
	// Path is the path at the upstream, including the query.
	Path        string
	ContentType string
	Class       Class
	// Digest identifies the request's content, to detect poison requests.
	Digest string
	// Timeout is the time left until the caller's deadline.
	Timeout time.Duration
	// Stream asks for the upstream's response as a stream of events.
	Stream bool
	// Repeatable allows another attempt after one that may have run. Only the entry
	// instance uses it; it is not sent to the agent.
	Repeatable bool
	// Once marks a call that must run at most once. The agent keeps its attempt in
	// a table under Team and IdempotencyKey.
	Once           bool
	IdempotencyKey string
	// Offset is the offset of the last control record that the sender has applied.
	Offset backing.Offset
	Body   []byte
}

// encode writes r into req, which is sent to the agent at addr.
func (r AttemptRequest) encode(req *protocol.Request, addr string) {
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + addr + PathRun)
	req.Header.SetContentTypeBytes([]byte(r.ContentType))
	h := &req.Header
	h.Set(headerAttempt, r.Attempt)
	h.Set(headerIncarnation, r.Incarnation)
	h.Set(headerTeam, r.Team)
	h.Set(headerCheckpoint, r.Checkpoint)
	h.Set(headerRoute, r.Route)
	h.Set(headerMethod, r.Method)
	h.Set(headerPath, r.Path)
	h.Set(headerClass, string(r.Class))
	h.Set(headerDigest, r.Digest)
	h.Set(headerTimeoutMS, strconv.FormatInt(ceilMilliseconds(r.Timeout), 10))
	h.Set(headerStream, strconv.FormatBool(r.Stream))
	h.Set(headerKey, r.IdempotencyKey)
	h.Set(headerOnce, strconv.FormatBool(r.Once))
	h.Set(headerOffset, strconv.FormatUint(uint64(r.Offset), 10))
	req.SetBodyRaw(r.Body)
}

// ReadAttemptRequest decodes and checks the attempt request in c.
func ReadAttemptRequest(c *app.RequestContext) (AttemptRequest, error) {
	h := &c.Request.Header
	r := AttemptRequest{
		Attempt:        h.Get(headerAttempt),
		Incarnation:    h.Get(headerIncarnation),
		Team:           h.Get(headerTeam),
		Checkpoint:     h.Get(headerCheckpoint),
		Route:          h.Get(headerRoute),
		Method:         h.Get(headerMethod),
		Path:           h.Get(headerPath),
		ContentType:    string(h.ContentType()),
		Class:          Class(h.Get(headerClass)),
		Digest:         h.Get(headerDigest),
		Stream:         h.Get(headerStream) == "true",
		Once:           h.Get(headerOnce) == "true",
		IdempotencyKey: h.Get(headerKey),
		Body:           c.Request.Body(),
	}
	timeoutMS, err := strconv.ParseInt(h.Get(headerTimeoutMS), 10, 64)
	if err != nil || timeoutMS <= 0 || timeoutMS > maxTimeout.Milliseconds() {
		return r, badHeader(headerTimeoutMS, "is not a number of milliseconds from 1 to "+strconv.FormatInt(maxTimeout.Milliseconds(), 10))
	}
	r.Timeout = time.Duration(timeoutMS) * time.Millisecond
	offset, err := strconv.ParseUint(h.Get(headerOffset), 10, 64)
	if err != nil {
		return r, badHeader(headerOffset, "is not an offset")
	}
	r.Offset = backing.Offset(offset)
	if r.Attempt == "" || (r.Checkpoint == "") == (r.Route == "") {
		return r, errkind.New(errkind.InvalidRequest, "the request needs an attempt id and either a checkpoint or a route")
	}
	return r, r.check(h)
}
