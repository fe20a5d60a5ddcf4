package agent

import (
	"bytes"
	"encoding/json"
)

// usage is the token count of a response, in the OpenAI format.
type usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
}

type usageEnvelope struct {
	Usage *usage `json:"usage"`
}

// usageKey occurs in each chunk that reports usage. Other chunks are not decoded,
// because decoding a chunk costs more than forwarding it.
var usageKey = []byte(`"usage":{`)

// usageCounter determines the usage of a streamed response.
type usageCounter struct {
	chunks   int
	reported *usage
}

func (u *usageCounter) add(data []byte) {
	u.chunks++
	if !bytes.Contains(data, usageKey) {
		return
	}
	var e usageEnvelope
	if json.Unmarshal(data, &e) == nil && e.Usage != nil {
		u.reported = e.Usage
	}
}

// usage returns the count that the engine reported, or one token per chunk if it
// reported none.
func (u *usageCounter) usage() usage {
	if u.reported != nil {
		return *u.reported
	}
	return usage{CompletionTokens: u.chunks}
}

func usageOf(body []byte) usage {
	var e usageEnvelope
	if json.Unmarshal(body, &e) != nil || e.Usage == nil {
		return usage{}
	}
	return *e.Usage
}
