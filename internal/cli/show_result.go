package cli

import (
	"fmt"
	"io"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
)

type showResult struct {
	Version  backing.Offset  `json:"version"`
	Document config.Document `json:"document"`
	notes    io.Writer
}

func (r showResult) writeText(w io.Writer) {
	fmt.Fprintf(r.notes, "version %d\n", r.Version)
	_ = writeJSON(w, r.Document)
}
