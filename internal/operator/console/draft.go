package console

import (
	"slices"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// draft is the set of changes that an operator has made and not yet published. It
// is immutable.
type draft struct {
	// base is the oldest version on which one of the changes was made.
	base    backing.Offset
	changes []record.EntryChange
}

func (d draft) empty() bool { return len(d.changes) == 0 }

// withChange returns the draft with a change that was made on version added. The
// change replaces an earlier change of the same entry. The base becomes the older
// of base and version, so that publishing cannot overwrite a newer change that the
// operator has not seen.
func (d draft) withChange(c record.EntryChange, version backing.Offset) draft {
	base := version
	if !d.empty() {
		base = min(base, d.base)
	}
	others := slices.DeleteFunc(slices.Clone(d.changes), func(o record.EntryChange) bool {
		return o.Section == c.Section && o.ID == c.ID
	})
	return draft{base: base, changes: append(others, c)}
}

// apply returns doc with the draft's changes applied, and the problems of the
// result. If a change cannot be applied, it returns doc unchanged.
func (d draft) apply(doc config.Document) (config.Document, config.Problems) {
	next, problems := config.Apply(doc, d.changes)
	if len(problems) > 0 {
		return doc, problems
	}
	return next, config.Validate(next)
}
