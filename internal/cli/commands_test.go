package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/matryer/is"
)

// commandRunner runs commands against one platform log.
type commandRunner struct {
	log            backing.Log
	stdout, stderr bytes.Buffer
}

func (s *commandRunner) run(args ...string) ExitCode {
	s.stdout.Reset()
	s.stderr.Reset()
	app := kingpin.New("jacinthbend", "Serving system for rarely used models.")
	app.Terminate(func(int) {}).UsageWriter(&s.stdout).ErrorWriter(&s.stderr)
	c := Register(app, Options{
		NewLog: func(string, time.Duration) backing.Log { return s.log },
		Stdin:  strings.NewReader(document), Stdout: &s.stdout, Stderr: &s.stderr, Version: "test",
	})
	code, _, _ := c.Main(context.Background(), app, args)
	return code
}

const document = `{"teams": {"t": {"rate_tokens_per_s": 2, "burst_tokens": 2}}, "data_centres": {"dc": {"region": "r"}}}`

// TestCommands checks the exit code and a part of the output of every command, in
// a sequence that an operator might type.
func TestCommands(t *testing.T) {
	is := is.New(t)
	dir := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	bad := file("bad.json", `{"teams": {"t": {"rate": 1}}}`)
	more := file("more.json", strings.Replace(document, `"rate_tokens_per_s": 2`, `"rate_tokens_per_s": 1`, 1))
	t.Setenv(EnvLogURL, "http://127.0.0.1:1")
	t.Setenv(EnvAuthor, "ann")
	log := standin.NewLog()
	s := &commandRunner{log: log}
	steps := []struct {
		line   string
		down   bool
		code   ExitCode
		stdout string
		stderr string
	}{
		{line: "version", stdout: "test (go"},
		{line: "config validate -", stdout: "The document is valid."},
		{line: "config validate " + bad, code: ExitInvalid, stderr: "$.teams.t.rate: unknown field"},
		{line: "config validate --output json " + bad, code: ExitInvalid, stderr: `"path": "$.teams.t.rate"`},
		{line: "config validate /does/not/exist", code: ExitFailed, stderr: "read the document"},
		{line: "config publish -", code: ExitUsage, stderr: "--base"},
		{line: "nonsense", code: ExitUsage, stderr: "jacinthbend help"},
		{line: "config diff -", stdout: "2 changes to version 0"},
		{line: "config publish - --base 0 --reason first", stdout: "Published version 1 with 2 changes."},
		{line: "config publish - --base 0", stdout: "Nothing to change"},
		{line: "config show", stdout: `"rate_tokens_per_s": 2`, stderr: "version 1"},
		{line: "config show --defaults --output json", stdout: `"adapter_loads": 32`},
		{line: "config publish " + more + " --base 0", code: ExitConflict, stderr: "ann published version 1 first"},
		{line: "config publish " + more + " --base 0", code: ExitConflict, stderr: "Your change also sets teams/t."},
		{line: "config publish " + more + " --base 1 --author bob", stdout: "Published version 2 with 1 change."},
		{line: "config publish - --base 1", code: ExitConflict, stderr: "bob published version 2 first"},
		{line: "key issue t --note desk", stdout: "The secret is not shown again."},
		{line: "key issue nobody", code: ExitInvalid, stderr: "there is no such team"},
		{line: "key list --output json", stdout: `"note": "desk"`},
		{line: "key withdraw key-0", code: ExitUsage, stderr: "there is no key"},
		{line: "datacentre out dc --reason work", stdout: "Published version 4"},
		{line: "status", stdout: "out"},
		{line: "datacentre in dc", stdout: "Published version 5"},
		{line: "datacentre in dc", stdout: "Nothing to change"},
		{line: "config history", stdout: "first"},
		{line: "audit --author bob", stdout: "bob via cli, base 1, applied"},
		{line: "audit --output json --limit 1", stdout: `"offset": 5`},
		{line: "status --timeout 10ms", down: true, code: ExitUnavailable, stderr: "log_unavailable"},
		{line: "datacentre out dc --timeout 10ms", down: true, code: ExitUnavailable, stderr: "log_unavailable"},
	}
	for _, step := range steps {
		t.Run(step.line, func(t *testing.T) {
			is := is.New(t)
			log.SetFaults(standin.LogFaults{Down: step.down})
			code := s.run(strings.Fields(step.line)...)
			t.Log(s.stdout.String(), s.stderr.String())
			is.Equal(code, step.code)
			is.True(strings.Contains(s.stdout.String(), step.stdout))
			is.True(strings.Contains(s.stderr.String(), step.stderr))
			if strings.Contains(step.line, "json") && code == ExitOK && !strings.Contains(step.line, ".json") {
				is.True(json.Valid(s.stdout.Bytes()))
			}
		})
	}
}

// TestLostAnswerIsNotAnError guards against reporting a change as failed although
// it took effect: the log appends the change, but its answer is lost.
func TestLostAnswerIsNotAnError(t *testing.T) {
	is := is.New(t)
	t.Setenv(EnvLogURL, "http://127.0.0.1:1")
	log := standin.NewLog()
	log.SetFaults(standin.LogFaults{LoseResponses: true})
	publish := []string{"config", "publish", "-", "--base", "0", "--author", "ann", "--timeout", "10ms"}
	s := &commandRunner{log: &unreadableLog{Log: log}}
	is.Equal(s.run(publish...), ExitUnknown) // an unknown outcome was reported as known
	s.log = log
	is.Equal(s.run(publish...), ExitOK)
	is.True(strings.Contains(s.stdout.String(), "Nothing to change"))
	before, _ := log.Counts()
	is.Equal(s.run("key", "issue", "t", "--author", "ann"), ExitOK)
	after, _ := log.Counts()
	is.Equal(after, before+1) // appended a second time although the log already had the change
}

// unreadableLog fails every read after the first append.
type unreadableLog struct {
	backing.Log
	appended bool
}

func (l *unreadableLog) Append(ctx context.Context, stream string, entries []json.RawMessage) (backing.Offset, error) {
	l.appended = true
	return l.Log.Append(ctx, stream, entries)
}

func (l *unreadableLog) Read(ctx context.Context, stream string, after backing.Offset, limit int, wait time.Duration) (backing.Page, error) {
	if l.appended {
		return backing.Page{}, backing.ErrUnavailable
	}
	return l.Log.Read(ctx, stream, after, limit, wait)
}
