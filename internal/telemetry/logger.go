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

// gcPercent trades processor time for memory: at 13,000 adapters and 7,200
// members a process took 60 MiB at the default of 100 and 49 MiB at 50.
const gcPercent = 50

// TuneGC sets the collector for a process that is mostly idle and holds a
// large view. An operator's own GOGC goes first.
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

// NewLeveledLogger is NewLogger with the output, stdout or stderr, and a level
// that can be changed. Logging never blocks, and the volume of lines below warn
// is bounded; a line tells what was left out.
func NewLeveledLogger(level, instance, dataCentre, output string) (*zap.Logger, zap.AtomicLevel, error) {
	l, err := zapcore.ParseLevel(level)
	if err != nil {
		return nil, zap.AtomicLevel{}, errors.Wrap(err, "log level")
	}
	out := os.Stderr
	if output == "stdout" {
		out = os.Stdout
	}
	at := zap.NewAtomicLevelAt(l)
	// hertz logs each closed connection as an error; the roles log what matters of it.
	hlog.SetOutput(io.Discard)
	return newLogger(out, at, zap.String("instance", instance), zap.String("data_centre", dataCentre)), at, nil
}

func newLogger(out io.Writer, level zap.AtomicLevel, fields ...zap.Field) *zap.Logger {
	w, left := newLineWriter(out), &leftOut{counts: make(map[string]int)}
	logger := zap.New(newCore(jsonEncoder(), w, level, left), zap.AddCaller(), zap.Fields(fields...))
	go reportLeftOut(logger, left, w)
	return logger
}

func jsonEncoder() zapcore.Encoder {
	c := zap.NewProductionEncoderConfig()
	c.EncodeTime = zapcore.RFC3339NanoTimeEncoder
	return zapcore.NewJSONEncoder(c)
}
