package fleet

import (
	"os"
	"strconv"
	"strings"

	"github.com/pkg/errors"
)

// PeakMemory returns the highest resident memory so far, in bytes.
func (p *Process) PeakMemory() (int64, error) {
	data, err := os.ReadFile(p.procPath("status"))
	if err != nil {
		return 0, errors.Wrap(err, "read peak memory")
	}
	_, rest, _ := strings.Cut(string(data), "VmHWM:")
	line, _, _ := strings.Cut(rest, "kB")
	kib, err := strconv.ParseInt(strings.TrimSpace(line), 10, 64)
	return kib << 10, errors.Wrap(err, "parse peak memory")
}

// OpenFiles returns the number of open descriptors.
func (p *Process) OpenFiles() (int, error) {
	entries, err := os.ReadDir(p.procPath("fd"))
	return len(entries), errors.Wrap(err, "read open descriptors")
}
