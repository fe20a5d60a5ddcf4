package speed

// Start values of the estimated time to first token, in force until responses show
// something else. Those of one kind of engine serve any other: what is learned is relative
// to them.
const (
	// PrefillTokensPerMS is the speed at which an engine reads a prompt.
	// Engines in use read 38 to 44 tokens per ms.
	PrefillTokensPerMS = 40.0
	// queuedRequestMS is added for each request in the engine's queue. The
	// longest class of prompts takes 240 ms if nothing is cached.
	queuedRequestMS = 120.0
	// runningRequestMS is the time that each running request adds to a step of
	// the engine.
	runningRequestMS = 1.5
	// prefillInterference is the fraction of the time to read a prompt that is
	// added for each running request, since reading it delays that request's
	// tokens.
	prefillInterference = 0.05
	// eventTokens is the number of tokens in an event of a stream, 6 or 7.
	eventTokens = 6.5
	// stepMS is the time of a step, which produces one token for each running request, and
	// stepPerRequestMS what each running request adds. Steps of engines in use take 3.4 to
	// 5.5 ms plus a little for each request.
	stepMS           = 4.5
	stepPerRequestMS = 0.05
)
