package poison

// CrashID identifies the crash that ended the upstream process with the given
// boot id. The agent and every entry instance that saw the crash derive the same
// id, so their reports count as one crash.
func CrashID(instance, bootID string) string { return instance + "/" + bootID }
