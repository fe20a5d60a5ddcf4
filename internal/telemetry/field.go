package telemetry

import "go.uber.org/zap"

// Err returns err as a field without its stack trace. zap.Error would add the
// stack trace of a pkg/errors error to each line, which does not help operators.
func Err(err error) zap.Field { return zap.String("error", err.Error()) }
