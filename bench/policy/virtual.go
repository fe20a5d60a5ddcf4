package policy

import (
	"fmt"
	"testing"
	"testing/synctest"
)

// RunAll runs each job in a synctest bubble of its own, which has its own virtual
// time. Several jobs run in parallel.
func RunAll(t *testing.T, jobs []func()) {
	for i, job := range jobs {
		t.Run(fmt.Sprint(i), func(t *testing.T) {
			t.Parallel()
			synctest.Test(t, func(*testing.T) { job() })
		})
	}
}
