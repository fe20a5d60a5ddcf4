package fleet

import "time"

// RequestAttributes are the values that the system reads from the header of a
// caller's request.
type RequestAttributes struct {
	// RequestID is the id that the caller gave this attempt.
	RequestID string
	// Timeout is how long the caller waits for the response; 0 is unknown.
	Timeout time.Duration
	// Key is the API key of the caller's team.
	Key string
	// Model and Adapter are empty for services without models.
	Model, Adapter string
	// TokensIn is the length of the prompt, TokensOut the maximum number of tokens
	// to generate. HasTokenCounts tells whether the request states them.
	TokensIn, TokensOut int
	HasTokenCounts      bool
	// LengthHint is the caller's estimate of the number of tokens to generate, often far off; 0 is
	// unknown.
	LengthHint int
	// Prompt lists the parts of the prompt in order.
	Prompt []PromptPart
	// ResumeAfter is the id of the last event of the stream that the caller has, or
	// empty.
	ResumeAfter string
	// Resumes is the RequestID of the attempt that brought the first event of the stream that
	// the caller resumes, or empty if the caller names none or several.
	Resumes string
}

// PromptPart is a part of a prompt that several requests may share.
type PromptPart struct {
	ID     string
	Tokens int
}

// ExpectedTokensOut returns how many tokens are probably generated: what the caller estimates, or else half of
// the maximum.
func (a *RequestAttributes) ExpectedTokensOut() int {
	if a.LengthHint > 0 {
		return min(a.LengthHint, a.TokensOut)
	}
	return a.TokensOut / 2
}
