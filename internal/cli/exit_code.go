package cli

import "github.com/jacinthbend/jacinthbend/internal/errkind"

// ExitCode is the exit status of a command.
type ExitCode int

// Exit codes, also listed in docs/configuration.md.
const (
	// ExitOK means that the command succeeded.
	ExitOK ExitCode = 0
	// ExitFailed means an unexpected error, such as a file that cannot be read.
	ExitFailed ExitCode = 1
	// ExitUsage means invalid arguments; nothing was done.
	ExitUsage ExitCode = 2
	// ExitInvalid means that the configuration is invalid; nothing was published.
	ExitInvalid ExitCode = 3
	// ExitConflict means that another change was published first; nothing was
	// published.
	ExitConflict ExitCode = 4
	// ExitUnavailable means that the platform log did not answer; nothing was
	// published.
	ExitUnavailable ExitCode = 5
	// ExitUnknown means that the change may or may not have been published.
	ExitUnknown ExitCode = 6
	// ExitFindings means that `config check` found no errors, but findings of a
	// severity that --fail-on names.
	ExitFindings ExitCode = 7
)

// ExitCodes returns all exit codes in ascending order.
func ExitCodes() []ExitCode {
	return []ExitCode{ExitOK, ExitFailed, ExitUsage, ExitInvalid, ExitConflict, ExitUnavailable, ExitUnknown, ExitFindings}
}

const exitHelp = `Exit codes: 0 done; 1 unexpected error; 2 wrong arguments; 3 configuration has errors; ` +
	`4 another change was published first; 5 platform log unavailable, nothing published; ` +
	`6 not known whether the change was published; 7 findings that --fail-on of config check names.`

var exitByKind = map[errkind.Kind]ExitCode{
	errkind.InvalidRequest: ExitUsage,
	errkind.ConfigInvalid:  ExitInvalid,
	errkind.ConfigConflict: ExitConflict,
	errkind.LogUnavailable: ExitUnavailable,
	errkind.ViewStale:      ExitUnavailable,
	errkind.OutcomeUnknown: ExitUnknown,
}

func exitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	if code, ok := exitByKind[errkind.From(err).Kind]; ok {
		return code
	}
	return ExitFailed
}
