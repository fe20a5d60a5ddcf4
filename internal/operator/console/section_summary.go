package console

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

type sectionSummary struct {
	Section record.Section
	Help    string
	Count   int
}
