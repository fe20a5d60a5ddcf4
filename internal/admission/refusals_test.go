package admission

import (
	"testing"
	"time"

	"github.com/matryer/is"
)

// TestShortObjectiveDoesNotYield guards against requests that yield to more urgent ones although they cannot wait:
// they are refused then, and the tokens go to less urgent ones that come back later.
func TestShortObjectiveDoesNotYield(t *testing.T) {
	check := is.New(t)
	check.True(!Ask{Urgency: 1, Tokens: 9000, Longest: 640 * time.Millisecond}.MayYield())
	check.True(Ask{Urgency: 2, Tokens: 9000, Longest: 4 * time.Second}.MayYield())
	var r Refusals
	r.Add(Ask{Urgency: 0, Tokens: 1000}, time.Second)
	r.Add(Ask{Urgency: 0, Tokens: 1000}, 2*time.Second)
	r.Add(Ask{Urgency: 1, Tokens: 9000}, 2*time.Second)
	check.Equal(r.Before(Ask{Urgency: 1, Tokens: 9000}, 2*time.Second), 2000.0)
	check.Equal(r.Before(Ask{Urgency: 2, Tokens: 9000}, 2*time.Second), 11000.0)
	check.Equal(r.Before(Ask{Urgency: 2, Tokens: 9000}, 2*time.Second+refusalMemory+1), 0.0)
}
