package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/jacinthbend/jacinthbend/internal/fleet"
)

// request returns the suspects of a request with these parts and a digest of its own.
func request(digest string, parts ...string) []Suspect {
	var out []Suspect
	for _, p := range parts {
		out = append(out, partSuspect(p))
	}
	return append(out, Suspect(requestPrefix+digest))
}

func quarantined(t *Table, suspects []Suspect) bool {
	_, _, ok := t.Check(1, suspects)
	return ok
}

// settle lets Check attribute the crashes again.
func settle() { time.Sleep(attributionInterval) }

// TestUnrelatedContentIsQuarantined guards against a harmful part that is not recognised by the
// fifth crash, and against refusing what only ran beside it: parts that it shares with
// sound requests, their other parts, and their digests. With two harmful parts, their
// common first part is in more crashes than each of them.
func TestUnrelatedContentIsQuarantined(t *testing.T) {
	for _, found := range [][]string{{"bad"}, {"bad1", "bad2"}} {
		for seed := range uint64(40) {
			t.Run(fmt.Sprintf("%v/%d", found, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					check := is.New(t)
					r := rand.New(rand.NewPCG(seed, 1))
					tables := []*Table{NewTable(), NewTable(), NewTable()}
					publish := func() {
						for i, from := range tables {
							for j, to := range tables {
								if i != j {
									to.SetReport(fmt.Sprint("entry-", i), from.Report())
								}
							}
						}
					}
					sound := func(n int) []Suspect {
						return request(fmt.Sprint("s", n), "first", fmt.Sprint("subject", r.IntN(30)), fmt.Sprint("own", n))
					}
					n, crashes := 0, 0
					for crash := range 5 * len(found) {
						// Sound requests complete between two crashes.
						for range r.IntN(4) {
							n++
							tables[r.IntN(3)].RecordComplete(sound(n))
						}
						time.Sleep(time.Duration(r.IntN(400)) * time.Millisecond)
						bad := request(fmt.Sprint("b", crash), "first", found[crash%len(found)], fmt.Sprint("own", crash))
						at := r.IntN(3)
						if quarantined(tables[at], bad) {
							continue
						}
						crashes++
						id := fmt.Sprint("u", crash)
						tables[at].RecordCrash(id, false, false, bad)
						for range r.IntN(8) {
							n++
							tables[r.IntN(3)].RecordCrash(id, false, r.IntN(2) == 0, sound(n))
						}
						publish()
						settle()
					}
					check.True(crashes <= 5*len(found))
					for _, table := range tables {
						for _, g := range found {
							check.True(quarantined(table, request("new", "first", g, "x")))
						}
						check.True(!quarantined(table, request("new", "first", "other", "x")))
						time.Sleep(2 * settleTime)
						table.RecordComplete(request("new", "first", "other", "x"))
						settle()
						check.True(!quarantined(table, request("new", "first", "other", "x")))
					}
				})
			})
		}
	}
}

// TestRepeatedRequest guards against refusing the parts that a request shares with others
// if the request as a whole crashes upstreams.
func TestRepeatedRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		table := NewTable()
		bad := request("bad", "first", "subject", "own")
		for i := range 3 {
			check.True(!quarantined(table, bad))
			table.RecordCrash(fmt.Sprint("u", i), false, false, bad)
			settle()
		}
		check.True(quarantined(table, bad))
		check.True(!quarantined(table, request("other", "first", "subject", "own2")))
		check.Equal(table.Quarantined(), 1)
	})
}

// TestPartThatUsedToComplete guards against a part that crashes upstreams from a certain moment
// on and is protected by earlier completions for good.
func TestPartThatUsedToComplete(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		table := NewTable()
		for i := range 20 {
			table.RecordComplete(request(fmt.Sprint("s", i), "first", "part", fmt.Sprint("own", i)))
		}
		for i := range 4 {
			table.RecordCrash(fmt.Sprint("u", i), false, false, request(fmt.Sprint("b", i), fmt.Sprint("first", i), "part", fmt.Sprint("x", i)))
			time.Sleep(300 * time.Millisecond)
		}
		check.True(!quarantined(table, request("new", "first", "part", "y")))
		time.Sleep(settleTime)
		check.True(quarantined(table, request("new", "first", "part", "y")))
	})
}

// TestCompletionClears guards against a part that stays refused although a request with it
// has completed, at any instance.
func TestCompletionClears(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		a, b := NewTable(), NewTable()
		for i := range 3 {
			a.RecordCrash(fmt.Sprint("u", i), false, false, request(fmt.Sprint("d", i), "f", "part"))
		}
		b.SetReport("a", a.Report())
		settle()
		check.True(quarantined(a, request("x", "part")))
		check.True(quarantined(b, request("x", "part")))
		<-a.Changed()
		b.RecordComplete(request("running since before", "part"))
		select {
		case <-b.Changed():
		default:
			t.Fatal("the clearance is not published")
		}
		a.SetReport("b", b.Report())
		settle()
		check.True(!quarantined(a, request("x", "part")))
		check.True(!quarantined(b, request("x", "part")))
	})
}

// TestRetryAfterCrash guards against a request that carries a harmful part from one
// upstream to the next.
func TestRetryAfterCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		table := NewTable()
		table.RecordCrash("u1", false, false, request("a", "first", "part"))
		check.True(table.MayRetry(request("a", "first", "part")))
		table.RecordCrash("u2", false, false, request("b", "first", "part"))
		check.True(!table.MayRetry(request("b", "first", "part")))
		check.True(table.MayRetry(request("c", "first", "other")))
	})
}

// TestColdCrashes guards against a quarantine after three crashes of upstreams that had
// just started and may have crashed under their load.
func TestColdCrashes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		table := NewTable()
		for i := range 6 {
			check.True(!quarantined(table, request("x", "f", "part")))
			table.RecordCrash(fmt.Sprint("u", i), true, false, request(fmt.Sprint("d", i), "f", "part"))
			settle()
		}
		check.True(quarantined(table, request("x", "f", "part")))
	})
}

// TestRestart guards against an instance that forgets with a restart, and against evidence
// that is kept for ever.
func TestRestart(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		table := NewTable()
		for i := range 3 {
			table.RecordCrash(fmt.Sprint("u", i), false, false, request(fmt.Sprint("d", i), "f", "part"))
		}
		restarted := NewTable()
		restarted.Restore(table.Report())
		settle()
		check.True(quarantined(restarted, request("x", "f", "part")))
		time.Sleep(Retention)
		check.True(!quarantined(restarted, request("x", "f", "part")))
		check.True(!restarted.Active())
		check.Equal(len(restarted.Report().Crashes), 0)
	})
}

// TestBounds guards against memory and reports that grow with the number of crashes or of
// requests, and against a quarantine that ends because later crashes displace its evidence.
func TestBounds(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		table := NewTable()
		for i := range 3 {
			table.RecordCrash(fmt.Sprint("bad", i), false, false, request(fmt.Sprint("d", i), "f", "part"))
		}
		settle()
		check.True(quarantined(table, request("x", "f", "part")))
		for i := range 3 * maxCrashes {
			for j := range 8 {
				table.RecordCrash(fmt.Sprint("u", i), false, false, request(fmt.Sprint(i, j), fmt.Sprint("p", i, j)))
			}
			time.Sleep(50 * time.Millisecond)
		}
		for j := range 2 * maxSuspects {
			table.RecordCrash("last", false, false, request(fmt.Sprint("l", j)))
		}
		report := table.Report()
		check.Equal(len(report.Crashes), maxCrashes)
		for _, c := range report.Crashes {
			check.True(len(c.Suspects) <= maxSuspects)
		}
		check.True(quarantined(table, request("x", "f", "part")))
	})
}

// TestUnrelatedPartInAllCrashes guards against a part that is refused for long because
// requests with it ran at every upstream that another part crashed, before any of them had
// completed: a start of the fleet, or a fleet with few upstreams.
func TestUnrelatedPartInAllCrashes(t *testing.T) {
	for name, row := range map[string]struct {
		// begun tells that the unrelated requests had begun to get answers.
		begun bool
		// completes tells that one completes meanwhile at another upstream.
		completes bool
	}{"answers begun": {true, false}, "one completes": {false, true}, "none completes": {false, false}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				table := NewTable()
				unrelated, bad := request("s", "first", "unrelated", "own"), request("b", "first", "bad", "own2")
				for i := range 3 {
					id := fmt.Sprint("u", i)
					table.RecordCrash(id, false, false, request(fmt.Sprint("b", i), "first", "bad", fmt.Sprint("x", i)))
					table.RecordCrash(id, false, row.begun, request(fmt.Sprint("s", i), "first", "unrelated", fmt.Sprint("y", i)))
					time.Sleep(100 * time.Millisecond)
				}
				check.True(!quarantined(table, unrelated))
				if row.completes {
					table.RecordComplete(request("other", "first", "unrelated", "z"))
				}
				time.Sleep(settleTime)
				check.True(quarantined(table, bad))
				check.Equal(quarantined(table, unrelated), !row.begun && !row.completes)
				time.Sleep(durations[0])
				check.True(!quarantined(table, unrelated))
				// A request with each is tried.
				table.RecordComplete(unrelated)
				table.RecordCrash("u3", false, false, bad)
				settle()
				check.True(quarantined(table, bad))
				check.True(!quarantined(table, unrelated))
				time.Sleep(durations[0])
				check.True(quarantined(table, bad)) // for longer now
			})
		})
	}
}

// TestAnswerBeginsBeforeTheCrash guards against a part that is not recognised because the
// upstreams send the beginning of the answer before they crash.
func TestAnswerBeginsBeforeTheCrash(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		check := is.New(t)
		table := NewTable()
		for i := range 6 {
			check.True(!quarantined(table, request("x", "f", "part")))
			table.RecordCrash(fmt.Sprint("u", i), false, true, request(fmt.Sprint("d", i), "f", "part"))
			settle()
		}
		check.True(quarantined(table, request("x", "f", "part")))
	})
}

// TestSameRequestWithAnotherPrompt guards against a request that its caller sends again and
// that counts as another one because the ids of its prompt's parts have changed.
func TestSameRequestWithAnotherPrompt(t *testing.T) {
	check := is.New(t)
	sent := func(body, own string) Identity {
		return Identity{Team: "blue", Method: "POST", Host: "h", URI: "/s/x", Body: []byte(body), Prompt: []fleet.PromptPart{{ID: "first"}, {ID: own}}}
	}
	check.Equal(sent("hello", "a1").Digest(), sent("hello", "a2").Digest())
	check.True(sent("hello", "a1").Digest() != sent("hello there", "a1").Digest())
	// Without a body only the prompt tells requests apart.
	check.True(sent("", "a1").Digest() != sent("", "a2").Digest())
}

// TestReportOfAnotherClock guards against reports that are ignored, or kept for too long, because
// the clock of the instance that made them is hours ahead or behind.
func TestReportOfAnotherClock(t *testing.T) {
	for _, ahead := range []time.Duration{-5 * time.Hour, -time.Minute, 0, time.Minute, 5 * time.Hour} {
		t.Run(ahead.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				check := is.New(t)
				from, to := NewTable(), NewTable()
				for i := range 3 {
					from.RecordCrash(fmt.Sprint("u", i), false, false, request("d", "f"))
				}
				time.Sleep(time.Second)
				r := from.Report()
				r.WrittenMS += ahead.Milliseconds()
				for i := range r.Crashes {
					r.Crashes[i].AtMS += ahead.Milliseconds()
				}
				to.SetReport("from", r.Live())
				settle()
				_, until, ok := to.Check(1, request("d", "f"))
				check.True(ok)
				left := time.Until(until)
				check.True(left <= durations[0] && left > durations[0]-2*time.Second)
				time.Sleep(Retention)
				check.True(!to.Active() || !quarantined(to, request("d", "f")))
			})
		})
	}
}
