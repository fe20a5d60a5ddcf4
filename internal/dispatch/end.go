package dispatch

import "github.com/jacinthbend/jacinthbend/internal/backing"

// End is the last event of an attempt that completed.
type End struct {
	// Attempt is the id from the request. A different id means that this is the
	// response to another attempt.
	Attempt string `json:"attempt"`
	// PromptTokens and CompletionTokens are the upstream's counts, 0 if it sent none.
	PromptTokens     int `json:"prompt_tokens,omitempty"`
	CompletionTokens int `json:"completion_tokens,omitempty"`
	// InFlight and Limit describe the agent's load when the attempt ended.
	InFlight int `json:"in_flight"`
	Limit    int `json:"limit"`
	// BootID is the boot id of the upstream that the attempt was sent to. If Run
	// returns an error, BootID is set only if the response had started.
	BootID string `json:"-"`
	// Offset is the offset of the last control record that the agent has applied.
	Offset backing.Offset `json:"offset"`
}

// WholeResponse is the event that carries a response that is not streamed.
type WholeResponse struct {
	Status      int    `json:"status"`
	ContentType string `json:"content_type"`
	Body        []byte `json:"body"`
}
