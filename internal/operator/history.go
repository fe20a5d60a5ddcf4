package operator

import (
	"github.com/jacinthbend/jacinthbend/internal/audit"
	"github.com/jacinthbend/jacinthbend/internal/backing"
)

// History holds recent configuration changes. *audit.RecentEntries and
// *StreamClient implement it.
type History interface {
	// Since returns the entries after version, oldest first, and whether it
	// holds all of them.
	Since(version backing.Offset) (entries []audit.Entry, complete bool)
}
