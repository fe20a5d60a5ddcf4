package policy

import (
	"flag"
	"io"
	"os"
	"reflect"
	"testing"
	"time"

	"github.com/pkg/errors"
)

// RunInCommand runs the jobs like RunAll in a program that is not a test. Package
// synctest works only inside tests, so RunInCommand starts a test run with a single
// test in this process. That run ignores the program's command line.
func RunInCommand(jobs []func()) error {
	testing.Init()
	if err := flag.CommandLine.Parse(nil); err != nil {
		return errors.Wrap(err, "parse empty flags for the test run")
	}
	tests := []testing.InternalTest{{Name: "Jobs", F: func(t *testing.T) { RunAll(t, jobs) }}}
	// The test run prints PASS or FAIL to standard output, which must hold only the
	// program's own output.
	out := os.Stdout
	os.Stdout = os.Stderr
	defer func() { os.Stdout = out }()
	if code := testing.MainStart(testDeps{}, tests, nil, nil, nil).Run(); code != 0 {
		return errors.Errorf("test run exited with code %d", code)
	}
	return nil
}

// testDeps implements what testing.MainStart requires, without profiles, fuzzing
// and coverage.
type testDeps struct{}

// corpusEntry is identical to the type that package testing uses for fuzzing.
type corpusEntry = struct {
	Parent     string
	Path       string
	Data       []byte
	Values     []any
	Generation int
	IsSeed     bool
}

func (testDeps) ImportPath() string                                       { return "" }
func (testDeps) ModulePath() string                                       { return "" }
func (testDeps) MatchString(string, string) (bool, error)                 { return true, nil }
func (testDeps) SetPanicOnExit0(bool)                                     {}
func (testDeps) StartCPUProfile(io.Writer) error                          { return nil }
func (testDeps) StopCPUProfile()                                          {}
func (testDeps) StartTestLog(io.Writer)                                   {}
func (testDeps) StopTestLog() error                                       { return nil }
func (testDeps) WriteProfileTo(string, io.Writer, int) error              { return nil }
func (testDeps) RunFuzzWorker(func(corpusEntry) error) error              { return nil }
func (testDeps) CheckCorpus([]any, []reflect.Type) error                  { return nil }
func (testDeps) ResetCoverage()                                           {}
func (testDeps) SnapshotCoverage()                                        {}
func (testDeps) ReadCorpus(string, []reflect.Type) ([]corpusEntry, error) { return nil, nil }

func (testDeps) CoordinateFuzzing(time.Duration, int64, time.Duration, int64, int, []corpusEntry, []reflect.Type, string, string) error {
	return nil
}

func (testDeps) InitRuntimeCoverage() (string, func(string, string) (string, error), func() float64) {
	return "", nil, nil
}
