package work

import (
	"strconv"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"

	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

// AttemptRequest is one attempt of one request at one agent.
type AttemptRequest struct {
	// Attempt is the id of this dispatch; the answer repeats it.
	Attempt string
	// Incarnation names the agent that the entry instance means.
	Incarnation string
	Team        string
	// Checkpoint is set for model requests, Route for plain services.
	Checkpoint string
	Route      string
	Method     string
	// Path is the path at the upstream, with its query.
	Path        string
	ContentType string
	Class       Class
	// Digest identifies the request's content, for poison detection.
	Digest string
	// Timeout is what is left of the caller's deadline.
	Timeout time.Duration
	// Stream asks for the upstream's events one by one.
	Stream bool
	// Repeatable allows another attempt after one that may have run. It stays
	// at the entry instance.
	Repeatable bool
	// Once marks a call that runs at most once; the agent then keeps the attempt
	// in its table under Team and IdempotencyKey.
	Once           bool
	IdempotencyKey string
	// Offset is the sender's highest applied offset.
	Offset platform.Offset
	Body   []byte
}

// fill writes o into req.
func (o AttemptRequest) fill(req *protocol.Request, addr string) {
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + addr + PathRun)
	req.Header.SetContentTypeBytes([]byte(o.ContentType))
	h := &req.Header
	h.Set(headerAttempt, o.Attempt)
	h.Set(headerIncarnation, o.Incarnation)
	h.Set(headerTeam, o.Team)
	h.Set(headerCheckpoint, o.Checkpoint)
	h.Set(headerRoute, o.Route)
	h.Set(headerMethod, o.Method)
	h.Set(headerPath, o.Path)
	h.Set(headerClass, string(o.Class))
	h.Set(headerDigest, o.Digest)
	h.Set(headerTimeoutMS, strconv.FormatInt(wholeMilliseconds(o.Timeout), 10))
	h.Set(headerStream, strconv.FormatBool(o.Stream))
	h.Set(headerKey, o.IdempotencyKey)
	h.Set(headerOnce, strconv.FormatBool(o.Once))
	h.Set(headerOffset, strconv.FormatUint(uint64(o.Offset), 10))
	req.SetBodyRaw(o.Body)
}

// ReadAttemptRequest returns the order that c carries.
func ReadAttemptRequest(c *app.RequestContext) (AttemptRequest, error) {
	h := &c.Request.Header
	o := AttemptRequest{
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
		return o, badHeader(headerTimeoutMS, "is not a number of milliseconds from 1 to "+strconv.FormatInt(maxTimeout.Milliseconds(), 10))
	}
	o.Timeout = time.Duration(timeoutMS) * time.Millisecond
	offset, err := strconv.ParseUint(h.Get(headerOffset), 10, 64)
	if err != nil {
		return o, badHeader(headerOffset, "is not an offset")
	}
	o.Offset = platform.Offset(offset)
	if o.Attempt == "" || (o.Checkpoint == "") == (o.Route == "") {
		return o, errkind.New(errkind.InvalidRequest, "an order needs an attempt id and either a checkpoint or a route")
	}
	return o, o.check(h)
}
