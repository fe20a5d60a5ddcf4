package cli

import (
	"fmt"
	"io"

	"github.com/jacinthbend/jacinthbend/internal/config"
)

type validateResult struct {
	Valid bool `json:"valid"`
	// Entries counts the entries by section.
	Entries map[string]int `json:"entries"`
}

func (r validateResult) writeText(w io.Writer) {
	fmt.Fprintln(w, "The document is valid.")
	for _, section := range config.Sections() {
		fmt.Fprintf(w, "%s\t%d\n", section, r.Entries[string(section)])
	}
}
