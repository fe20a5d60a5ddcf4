package dev

import (
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/cloudwego/hertz/pkg/protocol"
	"github.com/cloudwego/hertz/pkg/protocol/consts"
	"github.com/cloudwego/hertz/pkg/protocol/sse"
	"github.com/pkg/errors"

	"github.com/jacinthbend/jacinthbend/internal/peer"
)

const (
	requestTimeout = 20 * time.Second
	requestPrompt  = "three lines about a quiet morning"
)

// streamChunk has the fields of a chunk that SendRequest prints.
type streamChunk struct {
	Choices []struct {
		Text string `json:"text"`
	} `json:"choices"`
}

// SendRequest sends one streamed request through the fleet and writes its text to out.
func (f *Fleet) SendRequest(ctx context.Context, out io.Writer) error {
	return f.sendRequest(ctx, f.Key, out)
}

func (f *Fleet) sendRequest(ctx context.Context, key string, out io.Writer) error {
	hc, err := peer.NewHTTPClient(requestTimeout, true)
	if err != nil {
		return err
	}
	req, resp := protocol.AcquireRequest(), protocol.AcquireResponse()
	defer protocol.ReleaseRequest(req)
	defer protocol.ReleaseResponse(resp)
	body, err := json.Marshal(map[string]any{"model": f.Model, "prompt": requestPrompt, "max_tokens": 12, "stream": true})
	if err != nil {
		return errors.Wrap(err, "encode request")
	}
	req.SetMethod(consts.MethodPost)
	req.SetRequestURI("http://" + f.CallerAddr + "/v1/completions")
	req.Header.Set("Authorization", "Bearer "+key)
	req.Header.SetContentTypeBytes([]byte("application/json"))
	req.SetBody(body)
	if err := hc.Do(ctx, req, resp); err != nil {
		return errors.Wrap(err, "send request")
	}
	defer resp.CloseBodyStream()
	if resp.StatusCode() != consts.StatusOK {
		data, _ := resp.BodyE()
		return errors.Errorf("status %d: %s", resp.StatusCode(), data)
	}
	return printStream(ctx, resp, out)
}

func printStream(ctx context.Context, resp *protocol.Response, out io.Writer) error {
	reader, err := sse.NewReader(resp)
	if err != nil {
		return errors.Wrap(err, "read event stream")
	}
	complete := false
	err = reader.ForEach(ctx, func(e *sse.Event) error {
		if string(e.Data) == "[DONE]" {
			complete = true
			return nil
		}
		return printChunk(e, out)
	})
	if err != nil {
		return errors.Wrap(err, "read event stream")
	}
	if !complete {
		return errors.New("the stream ended without its final event")
	}
	_, err = io.WriteString(out, "\n")
	return errors.Wrap(err, "write answer")
}

func printChunk(e *sse.Event, out io.Writer) error {
	if e.Type == "error" {
		return errors.Errorf("the stream was cut: %s", e.Data)
	}
	var chunk streamChunk
	if err := json.Unmarshal(e.Data, &chunk); err != nil {
		return errors.Wrap(err, "decode chunk")
	}
	for _, choice := range chunk.Choices {
		if _, err := io.WriteString(out, choice.Text); err != nil {
			return errors.Wrap(err, "write answer")
		}
	}
	return nil
}
