package entry

import (
	"context"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

// Budget charges requests against the token quotas of the teams.
type Budget interface {
	// Reserve charges the estimated tokens to the team. The caller calls settle
	// with the actual count once it is known. Errors have kind over_rate,
	// view_stale or deadline_unmet.
	Reserve(ctx context.Context, team string, tokens float64) (settle func(actual float64), err error)
}

// Defaults for the estimate of a request's tokens, which is used until the
// upstream reports the actual count.
const (
	// bytesPerToken is the average length of a token of English text.
	bytesPerToken = 4
	// defaultMaxTokens is the assumed length of the completion when the request sets
	// no max_tokens.
	defaultMaxTokens = config.AssumedCompletionTokens
)

// estimate returns the tokens to reserve for a completion.
func (r completion) estimate() float64 {
	completionTokens := max(r.MaxTokens, r.MaxCompletionTokens)
	if completionTokens == 0 {
		completionTokens = defaultMaxTokens
	}
	return float64((len(r.Prompt)+len(r.Messages))/bytesPerToken + completionTokens)
}
