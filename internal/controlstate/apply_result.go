package controlstate

// ApplyResult says whether a record changed the view.
type ApplyResult struct {
	// Applied is false if the record was rejected. It is equal on every instance.
	Applied bool
	// Reason says why the record was rejected. For an applied record it lists
	// the entries that were rejected.
	Reason string
}

func applied() ApplyResult               { return ApplyResult{Applied: true} }
func rejected(reason string) ApplyResult { return ApplyResult{Reason: reason} }
