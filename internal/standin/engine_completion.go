package standin

import (
	"context"
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"

	"github.com/jacinthbend/jacinthbend/internal/engine"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// defaultMaxTokens is the length of an answer whose request names none.
const defaultMaxTokens = 16

// completionRequest are the fields that the stand-in reads of a request.
type completionRequest struct {
	Model     string          `json:"model"`
	Stream    bool            `json:"stream"`
	MaxTokens int             `json:"max_tokens"`
	Prompt    json.RawMessage `json:"prompt"`
	Messages  json.RawMessage `json:"messages"`
}

// Usage counts the tokens of one completion.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

type completionChoice struct {
	Index        int    `json:"index"`
	Text         string `json:"text"`
	FinishReason string `json:"finish_reason,omitempty"`
}

type completionChunk struct {
	Object  string             `json:"object"`
	Model   string             `json:"model"`
	Choices []completionChoice `json:"choices"`
	Usage   *Usage             `json:"usage,omitempty"`
}

func (e *Engine) serveCompletion(ctx context.Context, c *app.RequestContext) {
	e.remember(c)
	var r completionRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		peer.WriteError(c, errkind.Wrap(errkind.InvalidRequest, "the body is not JSON", err), "")
		return
	}
	alive, err := e.begin(r, string(c.Request.Body()))
	if err != nil {
		peer.WriteError(c, errkind.From(err), "")
		return
	}
	defer e.inFlight.Add(-1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	id := c.Request.Header.Get(engine.HeaderRequestID)
	e.cancels.Store(id, cancel)
	defer e.cancels.Delete(id)
	if r.MaxTokens <= 0 {
		r.MaxTokens = defaultMaxTokens
	}
	if r.Stream {
		e.streamCompletion(ctx, alive, c, r)
		return
	}
	e.wholeCompletion(ctx, alive, c, r)
}

// begin counts the request in and applies the crash rules.
func (e *Engine) begin(r completionRequest, body string) (context.Context, error) {
	e.mu.Lock()
	h, ok := e.held[r.Model]
	alive, cold := e.alive, time.Since(e.booted) < e.options.WarmUp
	e.mu.Unlock()
	if !ok || h.Loading {
		return nil, errkind.New(errkind.ModelNotFound, "checkpoint "+r.Model+" is not loaded")
	}
	e.requests.Add(1)
	n := e.inFlight.Add(1)
	poisoned := e.options.CrashMarker != "" && strings.Contains(body, e.options.CrashMarker)
	overloaded := cold && e.options.MaxColdInFlight > 0 && n > int64(e.options.MaxColdInFlight)
	if poisoned || overloaded {
		e.Crash()
	}
	return alive, nil
}

func (e *Engine) streamCompletion(ctx, alive context.Context, c *app.RequestContext, r completionRequest) {
	w := sse.NewWriter(c)
	for i := range r.MaxTokens {
		if !e.tick(ctx, alive) {
			_ = c.GetConn().Close()
			return
		}
		chunk := completionChunk{Object: "text_completion", Model: r.Model, Choices: []completionChoice{{Text: word(i)}}}
		data, _ := json.Marshal(chunk)
		if w.WriteEvent("", "", data) != nil {
			return
		}
	}
	last := completionChunk{Object: "text_completion", Model: r.Model, Choices: []completionChoice{{FinishReason: "length"}}, Usage: usage(r)}
	data, _ := json.Marshal(last)
	_ = w.WriteEvent("", "", data)
	_ = w.WriteEvent("", "", []byte("[DONE]"))
}

func (e *Engine) wholeCompletion(ctx, alive context.Context, c *app.RequestContext, r completionRequest) {
	var text strings.Builder
	for i := range r.MaxTokens {
		if !e.tick(ctx, alive) {
			_ = c.GetConn().Close()
			return
		}
		text.WriteString(word(i))
	}
	choice := completionChoice{Text: text.String(), FinishReason: "length"}
	peer.WriteJSON(c, consts.StatusOK, completionChunk{
		Object: "text_completion", Model: r.Model, Choices: []completionChoice{choice}, Usage: usage(r),
	})
}

// tick waits for the next token; false means that the caller left or the engine crashed.
func (e *Engine) tick(ctx, alive context.Context) bool {
	if e.options.TokenInterval <= 0 {
		return alive.Err() == nil && ctx.Err() == nil
	}
	select {
	case <-time.After(e.options.TokenInterval):
		return true
	case <-alive.Done():
		return false
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) remember(c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	const maxRemembered = 10_000
	if len(e.seen) < maxRemembered {
		e.seen[string(c.Request.Header.Header())+string(c.Request.Body())] = true
	}
}

func (e *Engine) handleCancel(_ context.Context, c engine.Cancel) (engine.Empty, error) {
	if end, ok := e.cancels.Load(c.ID); ok {
		end.(context.CancelFunc)()
	}
	return engine.Empty{}, nil
}

func word(i int) string { return fmt.Sprintf("word%d ", i) }

// usage counts a prompt token per four bytes, as the system's own estimate does.
func usage(r completionRequest) *Usage {
	const bytesPerToken = 4
	prompt := (len(r.Prompt) + len(r.Messages)) / bytesPerToken
	return &Usage{PromptTokens: prompt, CompletionTokens: r.MaxTokens, TotalTokens: prompt + r.MaxTokens}
}
