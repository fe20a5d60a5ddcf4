package work

import "github.com/jacinthbend/jacinthbend/internal/platform"

// End is the last event of an attempt that completed.
type End struct {
	// Attempt repeats the order's id; another id means a crossed answer.
	Attempt string `json:"attempt"`
	// PromptTokens and CompletionTokens are the upstream's counts, 0 when it gave none.
	PromptTokens     int `json:"prompt_tokens,omitempty"`
	CompletionTokens int `json:"completion_tokens,omitempty"`
	// InFlight and Limit describe the agent's load when the attempt ended.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	// BootID is the life of the upstream that the attempt was sent to, set also
	// where Run returns an error; empty before the agent has begun.
	BootID string `json:"-"`
	// Offset is the agent's highest applied offset.
	Offset platform.Offset `json:"offset"`
}

// WholeResponse is the event that carries an unstreamed answer.
type WholeResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}
