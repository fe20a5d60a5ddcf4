package attempt_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/atmostonce"
	"github.com/jacinthbend/jacinthbend/internal/atmostonce/attempt"
)

// BenchmarkTable measures one attempt (Start, Finish, Settle) in a full table.
func BenchmarkTable(b *testing.B) {
	for _, size := range []int{1000, 10_000, 100_000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) {
			random := rand.NewChaCha8([32]byte{1})
			table, err := attempt.New(self, attempt.Limits{MaxEnded: size})
			if err != nil {
				b.Fatal(err)
			}
			n := 0
			runAttempt := func() {
				d := dispatch(n, random)
				n++
				if admission, _ := table.Start(d); admission != attempt.AdmissionGranted {
					b.Fatal(admission)
				}
				table.Finish(d.Attempt, atmostonce.Result{Status: 200})
				table.Settle(atmostonce.SettleRequest{CallID: d.CallID, Attempt: d.Attempt, Target: d.Target})
			}
			for range size {
				runAttempt()
			}
			for b.Loop() {
				runAttempt()
			}
		})
	}
}
