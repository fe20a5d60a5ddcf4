// Package telemetry sets up logs, metrics and health for both binaries.
package telemetry

import (
	"io"
	"os"
	"runtime/debug"

	"github.com/cloudwego/hertz/pkg/common/hlog"
	"github.com/pkg/errors"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"
)

// gcPercent trades CPU time for memory: with 13,000 adapters and 7,200 members a
// process used 60 MiB at the default of 100 and 49 MiB at 50.
const gcPercent = 50

// TuneGC makes the garbage collector run more often, since a process is mostly
// idle and keeps a large view in memory. GOGC in the environment takes precedence.
func TuneGC() {
	if os.Getenv("GOGC") == "" {
		debug.SetGCPercent(gcPercent)
	}
}

// NewLogger returns a JSON logger at level (debug, info, warn or error) whose
// lines carry the instance and its data centre.
func NewLogger(level, instance, dataCentre string) (*zap.Logger, error) {
	logger, _, err := NewLeveledLogger(level, instance, dataCentre, "stderr")
	return logger, err
}

// NewLeveledLogger is like NewLogger, with a choice of output (stdout or stderr)
// and a level that can be changed at run time. Logging never blocks. Lines below
// warn are sampled. The logger counts the dropped lines and logs their number at
// regular intervals. It becomes the logger of packages that get none, zap.L().
func NewLeveledLogger(level, instance, dataCentre, output string) (*zap.Logger, zap.AtomicLevel, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, zap.AtomicLevel{}, errors.Wrap(err, "parse log level")
	}
	out := os.Stderr
	if output == "stdout" {
		out = os.Stdout
	}
	at := zap.NewAtomicLevelAt(l)
	// hertz logs each closed connection as an error. Entry instances and agents log
	// the relevant failures themselves.
	hlog.SetOutput(io.Discard)
	logger := newLogger(out, at, zap.String("instance", instance), zap.String("data_centre", dataCentre))
	zap.ReplaceGlobals(logger)
	return logger, at, nil
}

func newLogger(out io.Writer, level zap.AtomicLevel, fields ...zap.Field) *zap.Logger {
	w, dropped := newLineWriter(out), &droppedLines{counts: make(map[string]int)}
	logger := zap.New(newCore(jsonEncoder(), w, level, dropped), zap.AddCaller(), zap.Fields(fields...))
	go reportDropped(logger, dropped, w)
	return logger
}

func jsonEncoder() zapcore.Encoder {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(c)
}
