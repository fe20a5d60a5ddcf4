package cli

import (
	"fmt"
	"io"

	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/platform"
)

type showResult struct {
	Version  platform.Offset `json:"version"`
	Document config.Document `json:"document"`
	notes    io.Writer
}

func (r showResult) writeText(w io.Writer) {
	fmt.Fprintf(r.notes, "version %d\n", r.Version)
	_ = writeJSON(w, r.Document)
}
