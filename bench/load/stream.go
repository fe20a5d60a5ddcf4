// Package load sends concurrent streamed requests and measures their latency and
// throughput.
package load

import (
	"context"
	"encoding/json"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"github.com/cloudwego/hertz/pkg/app/client"
	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

// histogramMaxUS is the longest recorded time, in microseconds.
const histogramMaxUS = 60_000_000

// Options configure a run.
type Options struct {
	// Addr is the target, IP:port: an entry instance or an engine.
	Addr string
	// Key is the team key; empty for an engine.
	Key   string
	Model string
	// Concurrency is the number of concurrent callers.
	Concurrency int
	// MaxTokens is the max_tokens of each request, which sets the answer's length.
	MaxTokens int
	// Duration is the length of the run.
	Duration time.Duration
}

// Result holds the measurements of a run. The histograms are in microseconds.
type Result struct {
	Requests int64
	Failures int64
	Tokens   int64
	Elapsed  time.Duration
	// FirstToken is the time from sending a request to its first token.
	FirstToken *hdrhistogram.Histogram
	// InterToken is the time between two tokens of a stream.
	InterToken *hdrhistogram.Histogram
}

func newResult() *Result {
	return &Result{
		FirstToken: hdrhistogram.New(1, histogramMaxUS, 3),
		InterToken: hdrhistogram.New(1, histogramMaxUS, 3),
	}
}

func (r *Result) merge(o *Result) {
	r.Requests += o.Requests
	r.Failures += o.Failures
	r.Tokens += o.Tokens
	r.FirstToken.Merge(o.FirstToken)
	r.InterToken.Merge(o.InterToken)
}

// Run sends requests from o.Concurrency callers for o.Duration. Each caller sends
// its next request when the previous one has ended.
func Run(ctx context.Context, o Options) (*Result, error) {
	httpClient, err := peer.NewHTTPClient(30*time.Second, true)
	if err != nil {
		return nil, err
	}
	body, err := json.Marshal(map[string]any{"model": o.Model, "prompt": "measure", "max_tokens": o.MaxTokens, "stream": true})
	if err != nil {
		return nil, errors.Wrap(err, "encode request")
	}
	start := time.Now()
	end := start.Add(o.Duration)
	total := newResult()
	var mu sync.Mutex
	var wg sync.WaitGroup
	for range o.Concurrency {
		wg.Go(func() {
			callerResult := newResult()
			for time.Now().Before(end) && ctx.Err() == nil {
				callerResult.sendOne(ctx, httpClient, o, body)
			}
			mu.Lock()
			defer mu.Unlock()
			total.merge(callerResult)
		})
	}
	wg.Wait()
	total.Elapsed = time.Since(start)
	return total, nil
}

// sendOne sends one request and counts it, and its failure if it fails.
func (r *Result) sendOne(ctx context.Context, httpClient *client.Client, o Options, body []byte) {
	r.Requests++
	if err := r.sendStream(ctx, httpClient, o, body); err != nil {
		r.Failures++
	}
}

// sendStream sends one request and records the times of its tokens.
func (r *Result) sendStream(ctx context.Context, httpClient *client.Client, o Options, body []byte) error {
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + o.Addr + "/v1/completions")
	req.Header.Set("Authorization", "Bearer "+o.Key)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBodyRaw(body)
	sentAt := time.Now()
	if err := httpClient.Do(ctx, req, resp); err != nil {
		return err
	}
	defer resp.CloseBodyStream()
	if resp.StatusCode() != consts.StatusOK {
		return errors.Errorf("unexpected status %d", resp.StatusCode())
	}
	reader, err := sse.NewReader(resp)
	if err != nil {
		return err
	}
	lastToken, complete := time.Time{}, false
	err = reader.ForEach(ctx, func(e *sse.Event) error {
		now := time.Now()
		if string(e.Data) == "[DONE]" {
			complete = true
			return nil
		}
		if lastToken.IsZero() {
			_ = r.FirstToken.RecordValue(now.Sub(sentAt).Microseconds())
		} else {
			_ = r.InterToken.RecordValue(now.Sub(lastToken).Microseconds())
		}
		lastToken = now
		r.Tokens++
		return nil
	})
	if err == nil && !complete {
		return errors.New("stream ended without its final event")
	}
	return err
}
