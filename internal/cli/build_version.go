package cli

import (
	"fmt"
	"io"
)

type buildVersion struct {
	Version string `json:"version"`
	Go      string `json:"go"`
}

func (v buildVersion) writeText(w io.Writer) {
	fmt.Fprintf(w, "%s (%s)\n", v.Version, v.Go)
}
