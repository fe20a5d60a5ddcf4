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

// defaultMaxTokens is the number of generated tokens if the request sets no max_tokens.
const defaultMaxTokens = 16

// completionRequest holds the request fields that the fake engine reads.
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
	e.recordReceived(c)
	var r completionRequest
	if err := json.Unmarshal(c.Request.Body(), &r); err != nil {
		peer.WriteError(c, errkind.Wrap(errkind.InvalidRequest, "the request body is not valid JSON", err), "")
		return
	}
	bootCtx, err := e.begin(r, string(c.Request.Body()))
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
		e.streamCompletion(ctx, bootCtx, c, r)
		return
	}
	e.bufferedCompletion(ctx, bootCtx, c, r)
}

// begin refuses a request whose checkpoint is not loaded and counts any other as in
// flight. It crashes the engine if the body contains the crash marker or if too many
// requests are in flight during warm-up. The returned context ends when the engine
// crashes.
func (e *Engine) begin(r completionRequest, body string) (context.Context, error) {
	e.mu.Lock()
	h, ok := e.held[r.Model]
	bootCtx, warmingUp := e.bootCtx, time.Since(e.booted) < e.options.WarmUp
	e.mu.Unlock()
	if !ok || h.Loading {
		return nil, errkind.New(errkind.ModelNotFound, "checkpoint "+r.Model+" is not loaded")
	}
	e.requests.Add(1)
	n := e.inFlight.Add(1)
	hasMarker := e.options.CrashMarker != "" && strings.Contains(body, e.options.CrashMarker)
	overloaded := warmingUp && e.options.MaxColdInFlight > 0 && n > int64(e.options.MaxColdInFlight)
	if hasMarker || overloaded {
		e.Crash()
	}
	return bootCtx, nil
}

func (e *Engine) streamCompletion(ctx, bootCtx context.Context, c *app.RequestContext, r completionRequest) {
	w := sse.NewWriter(c)
	for i := range r.MaxTokens {
		if !e.waitToken(ctx, bootCtx) {
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

func (e *Engine) bufferedCompletion(ctx, bootCtx context.Context, c *app.RequestContext, r completionRequest) {
	var text strings.Builder
	for i := range r.MaxTokens {
		if !e.waitToken(ctx, bootCtx) {
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

// waitToken waits until the next token is due. It returns false if the caller
// disconnected or the engine crashed.
func (e *Engine) waitToken(ctx, bootCtx context.Context) bool {
	if e.options.TokenInterval <= 0 {
		return bootCtx.Err() == nil && ctx.Err() == nil
	}
	select {
	case <-time.After(e.options.TokenInterval):
		return true
	case <-bootCtx.Done():
		return false
	case <-ctx.Done():
		return false
	}
}

func (e *Engine) recordReceived(c *app.RequestContext) {
	e.mu.Lock()
	defer e.mu.Unlock()
	const maxReceived = 10_000
	if len(e.received) < maxReceived {
		e.received[string(c.Request.Header.Header())+string(c.Request.Body())] = true
	}
}

func (e *Engine) handleCancel(_ context.Context, c engine.CancelRequest) (engine.Empty, error) {
	if end, ok := e.cancels.Load(c.ID); ok {
		end.(context.CancelFunc)()
	}
	return engine.Empty{}, nil
}

func word(i int) string { return fmt.Sprintf("word%d ", i) }

// usage counts one prompt token per four bytes, like the entry's own estimate.
func usage(r completionRequest) *Usage {
	const bytesPerToken = 4
	prompt := (len(r.Prompt) + len(r.Messages)) / bytesPerToken
	return &Usage{PromptTokens: prompt, CompletionTokens: r.MaxTokens, TotalTokens: prompt + r.MaxTokens}
}
