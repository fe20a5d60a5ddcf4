package entry

import (
	"context"
	"encoding/json"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"

	"github.com/jacinthbend/jacinthbend/internal/controlstate"
	"github.com/jacinthbend/jacinthbend/internal/dispatch"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/poison"
)

// completion holds the fields of an OpenAI-style request that the entry instance
// reads. The body itself is forwarded unchanged.
type completion struct {
	Model  string
	Stream bool
	// MaxTokens and MaxCompletionTokens are two names for the same limit.
	MaxTokens           int
	MaxCompletionTokens int
	Prompt              json.RawMessage
	Messages            json.RawMessage
}

func (e *Entry) serveCompletion(ctx context.Context, c *app.RequestContext) {
	info := newRequestInfo(c)
	if err := e.beginRequest(); err != nil {
		e.respondError(c, info, err)
		return
	}
	defer e.Lifecycle.End()
	req, err := e.checkCompletion(c, info)
	if err != nil {
		e.respondError(c, info, err)
		return
	}
	ctx, cancel := context.WithDeadline(ctx, info.deadline)
	defer cancel()
	r := dispatch.AttemptRequest{
		Team:        info.team,
		Checkpoint:  req.Model,
		Method:      string(c.Method()),
		Path:        string(c.Path()),
		ContentType: "application/json",
		Class:       info.class,
		Stream:      req.Stream,
		Repeatable:  true,
		Body:        c.Request.Body(),
	}
	r.Digest = digest(r)
	if err := e.Guard.Check(poison.Digest(r.Digest)); err != nil {
		e.respondError(c, info, err)
		return
	}
	e.forward(ctx, c, info, r, req.estimate())
}

// checkCompletion runs every check that needs no call to another instance.
func (e *Entry) checkCompletion(c *app.RequestContext, info *requestInfo) (completion, error) {
	var req completion
	if err := e.checkServing(); err != nil {
		return req, err
	}
	v := e.Fleet.View()
	if err := authenticate(v, c, info); err != nil {
		return req, err
	}
	if err := readHeaders(v, c, info); err != nil {
		return req, err
	}
	if err := checkEncoding(c); err != nil {
		return req, err
	}
	req, err := decodeCompletion(c.Request.Body())
	if err != nil {
		return req, err
	}
	return req, checkModel(v, req, info.team)
}

// maxTokensLimit bounds the tokens that a request may ask for. It exceeds the
// context length of every engine, so it rejects only mistakes.
const maxTokensLimit = 1 << 20

func checkMaxTokens(field string, n int) error {
	if n < 0 || n > maxTokensLimit {
		return errkind.New(errkind.InvalidRequest, "field "+field+" must be from 0 to "+strconv.Itoa(maxTokensLimit)+" tokens")
	}
	return nil
}

func checkModel(v *controlstate.View, req completion, team string) error {
	if req.Model == "" {
		return errkind.New(errkind.InvalidRequest, "field model is required")
	}
	if err := checkMaxTokens("max_tokens", req.MaxTokens); err != nil {
		return err
	}
	if err := checkMaxTokens("max_completion_tokens", req.MaxCompletionTokens); err != nil {
		return err
	}
	modelID, adapterID, isAdapter := strings.Cut(req.Model, ":")
	m, ok := v.Models.Get(modelID)
	if !ok || !teamAllowed(m.Teams, team) {
		return errkind.New(errkind.ModelNotFound, "model "+excerpt(req.Model)+" does not exist for this team")
	}
	if !isAdapter {
		return nil
	}
	a, ok := v.Adapters.Get(adapterID)
	if !ok || a.Model != modelID || !teamAllowed(a.Teams, team) {
		return errkind.New(errkind.ModelNotFound, "adapter "+excerpt(req.Model)+" does not exist for this team")
	}
	return nil
}
