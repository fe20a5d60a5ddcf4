package cli

import (
	"time"

	"github.com/alecthomas/kingpin/v2"
)

// Environment variables that give the values of flags that are not set.
const (
	EnvLogURL = "JACINTHBEND_LOG_URL"
	EnvAuthor = "JACINTHBEND_AUTHOR"
)

const (
	outputText = "text"
	outputJSON = "json"
)

// flags holds the values of the flags that several commands share.
type flags struct {
	output  string
	logURL  string
	timeout time.Duration
	author  string
	reason  string
}

func (f *flags) addOutput(cmd *kingpin.CmdClause) {
	cmd.Flag("output", "Output format: text for people, json for programs.").
		Default(outputText).EnumVar(&f.output, outputText, outputJSON)
}

func (f *flags) addLog(cmd *kingpin.CmdClause) {
	f.addOptionalLog(cmd).Required()
}

// addOptionalLog is like addLog for a command that can do without the log. It
// returns the flag for the base URL.
func (f *flags) addOptionalLog(cmd *kingpin.CmdClause) *kingpin.FlagClause {
	logURL := cmd.Flag("log-url", "Base URL of the platform log.").Envar(EnvLogURL)
	logURL.StringVar(&f.logURL)
	cmd.Flag("timeout", "How long to keep trying while the platform log does not answer.").
		Default("30s").DurationVar(&f.timeout)
	return logURL
}

// addAuthor adds the flags whose values the audit trail records with a change.
func (f *flags) addAuthor(cmd *kingpin.CmdClause) {
	cmd.Flag("author", "Your name, for the audit trail.").
		Envar(EnvAuthor).Required().StringVar(&f.author)
	cmd.Flag("reason", "Why you make the change, for the audit trail.").
		StringVar(&f.reason)
}
