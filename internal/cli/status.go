package cli

import (
	"fmt"
	"io"
	"maps"
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/backing"
)

type status struct {
	Offset      backing.Offset              `json:"offset"`
	Version     backing.Offset              `json:"version"`
	DataCentres map[string]dataCentreStatus `json:"data_centres"`
	Models      int                         `json:"models"`
	Adapters    int                         `json:"adapters"`
	Homes       int                         `json:"homes"`
	Quarantined int                         `json:"quarantined_requests"`
}

func (s status) writeText(w io.Writer) {
	fmt.Fprintf(w, "Configuration version\t%d\nControl stream offset\t%d\n", s.Version, s.Offset)
	fmt.Fprintf(w, "Models\t%d\nAdapters\t%d\nHomes\t%d\nQuarantined requests\t%d\n\n", s.Models, s.Adapters, s.Homes, s.Quarantined)
	fmt.Fprintln(w, "DATA CENTRE\tREGION\tSTATE\tENTRY INSTANCES\tAGENTS")
	for _, id := range slices.Sorted(maps.Keys(s.DataCentres)) {
		dc := s.DataCentres[id]
		state := string(dc.State)
		if state == "" {
			state = "not configured"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%d\t%d\n", id, dc.Region, state, dc.Entry, dc.Agents)
	}
}
