package cli

import (
	"encoding/json"
	"os"
	"path/filepath"
	"strings"
	"testing"

	"github.com/jacinthbend/jacinthbend/internal/configcheck"
	"github.com/jacinthbend/jacinthbend/internal/record"
	"github.com/jacinthbend/jacinthbend/internal/standin"
	"github.com/matryer/is"
)

const sampleFile = "../../docs/examples/fleet.json"

// TestConfigCheck guards the exit codes and the shape of the JSON output, on which
// scripts depend, and that nothing but an unreachable log prevents a check.
func TestConfigCheck(t *testing.T) {
	is := is.New(t)
	data, err := os.ReadFile(sampleFile)
	is.NoErr(err)
	dir := t.TempDir()
	file := func(name, content string) string {
		path := filepath.Join(dir, name)
		is.NoErr(os.WriteFile(path, []byte(content), 0o600))
		return path
	}
	lower := file("lower", strings.Replace(string(data), `"rate_tokens_per_s": 500`, `"rate_tokens_per_s": 400`, 1))
	warned := file("warned", strings.Replace(string(data), `"cost_tokens": 50`, `"cost_tokens": 50000`, 1))
	bad := file("bad", `{"teams": {"t": {"rate_tokens_per_s": 9, "burst_tokens": 1, "wieght": 2}}}`)
	t.Setenv(EnvLogURL, "http://127.0.0.1:1")
	t.Setenv(EnvAuthor, "ann")
	log := standin.NewLog()
	s := &commandRunner{log: log}
	is.Equal(s.run("config", "publish", sampleFile, "--base", "0"), ExitOK)
	join, err := record.New("a1", 1, record.MemberJoin{Instance: "a1", Incarnation: "i1", Role: record.RoleAgent, DataCentre: "dc-1", PeerAddr: "127.0.0.1:1", Pool: "tools"})
	is.NoErr(err)
	entry, err := join.Encode()
	is.NoErr(err)
	steps := []struct {
		line   string
		url    string
		down   bool
		code   ExitCode
		stdout string
		stderr string
	}{
		{line: sampleFile, stdout: "fleet.json: no findings (compared with version 1)"},
		{line: sampleFile + " --offline", url: "-", stdout: "no findings (not compared with a version)"},
		{line: lower, stdout: "risk: $.teams.beta.rate_tokens_per_s: the rate in tokens per second is lowered from 500 to 400"},
		{line: lower + " --fail-on warning", stdout: "1 risk (compared"},
		{line: lower + " --fail-on warning --fail-on risk", code: ExitFindings, stdout: "1 risk"},
		{line: lower + " --against 0 --fail-on risk", code: ExitFindings, stdout: "route_opened"},
		{line: warned + " --offline", stdout: "warning: $.routes.invoices.cost_tokens"},
		{line: warned + " --offline --fail-on warning", code: ExitFindings, stdout: "[cost_over_burst]"},
		{line: bad + " --fail-on risk", down: true, code: ExitInvalid, stdout: "error: $.teams.t.wieght: unknown field [unknown_field]"},
		{line: "- --offline", stdout: "-: 1 warning (not compared"},
		{line: "/does/not/exist --offline", code: ExitFailed, stderr: "read the document"},
		{line: sampleFile, url: "-", code: ExitUsage, stderr: "--offline checks the document alone"},
		{line: sampleFile + " --offline --against 1", code: ExitUsage, stderr: "exclude each other"},
		{line: sampleFile + " --against 7", code: ExitUsage, stderr: "the current version is 1"},
		{line: sampleFile + " --against x", code: ExitUsage, stderr: "jacinthbend help"},
		{line: sampleFile + " --fail-on all", code: ExitUsage, stderr: "jacinthbend help"},
		{line: sampleFile + " --timeout 10ms", down: true, code: ExitUnavailable, stderr: "log_unavailable"},
	}
	for _, step := range steps {
		t.Run(step.line, func(t *testing.T) {
			is := is.New(t)
			if step.url != "" {
				t.Setenv(EnvLogURL, strings.Trim(step.url, "-"))
			}
			log.SetFaults(standin.LogFaults{Down: step.down})
			code := s.run(append([]string{"config", "check"}, strings.Fields(step.line)...)...)
			t.Log(s.stdout.String(), s.stderr.String())
			is.Equal(code, step.code)
			is.True(strings.Contains(s.stdout.String(), step.stdout))
			is.True(strings.Contains(s.stderr.String(), step.stderr))
		})
	}

	log.SetFaults(standin.LogFaults{})
	_, err = log.Append(t.Context(), record.ControlStream, []json.RawMessage{entry})
	is.NoErr(err)
	for _, format := range [][]string{{"--json"}, {"--output", "json"}} {
		is.Equal(s.run(append([]string{"config", "check", lower}, format...)...), ExitOK)
		var got map[string]any
		is.NoErr(json.Unmarshal(s.stdout.Bytes(), &got))
		is.Equal(got["file"], lower)
		is.Equal(got["base"], 1.0)
		is.Equal(got["counts"], map[string]any{"error": 0.0, "risk": 1.0, "warning": 1.0, "change": 0.0})
		findings := got["findings"].([]any)
		is.Equal(findings[0], map[string]any{
			"code": string(configcheck.CodeLowered), "severity": "risk", "path": "$.teams.beta.rate_tokens_per_s",
			"message": "the rate in tokens per second is lowered from 500 to 400: calls above it are refused; check what the team uses",
		})
		is.Equal(findings[1].(map[string]any)["code"], string(configcheck.CodeNoUpstream)) // the live agent was not counted
	}
	is.Equal(s.run("config", "publish", lower, "--base", "1"), ExitOK) // version 3, because the join is at offset 2
	is.Equal(s.run("config", "check", lower, "--against", "1"), ExitOK)
	is.True(strings.Contains(s.stdout.String(), "compared with version 1"))
	is.Equal(s.run("config", "check", lower, "--against", "2"), ExitUsage)
	is.True(strings.Contains(s.stderr.String(), "version 2 cannot be read"))

	is.Equal(s.run("config", "check", bad, "--json"), ExitInvalid)
	is.True(strings.Contains(s.stdout.String(), `"value": "1"`))
	is.Equal(s.run("config", "check", sampleFile, "--offline", "--json"), ExitOK)
	is.True(strings.Contains(s.stdout.String(), `"findings": []`)) // null instead of an empty list
	is.True(!strings.Contains(s.stdout.String(), `"base"`))
}
