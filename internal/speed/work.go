package speed

// Work is what a request finds at an engine, and what it adds.
type Work struct {
	// Tokens are the prompt tokens of the request that the engine has to read.
	Tokens int
	// PendingTokens are the tokens of prompts that were sent before and are not read yet.
	PendingTokens int
	// Running and Queued are the requests that the engine runs and has in its queue.
	Running, Queued int
	// Model is the factor of the request's model, from Group.Model.
	Model float64
}
