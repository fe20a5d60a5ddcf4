package fleet

import "time"

// RequestAttributes are what a caller's request says of itself besides its body.
type RequestAttributes struct {
	// RequestID is the caller's id of this attempt.
	RequestID string
	// Timeout is how long the caller waits; 0 is unknown.
	Timeout time.Duration
	// Key is the caller's team key.
	Key string
	// Model and Adapter are empty for services without models.
	Model, Adapter string
	// TokensIn and TokensOut are the prompt and the most that is generated;
	// HasTokens tells whether the request names them.
	TokensIn, TokensOut int
	HasTokenCounts           bool
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// ResumeAfter is the id of the last event that the caller has, or empty.
	ResumeAfter string
}

// PromptPart is a part of a prompt that requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}
