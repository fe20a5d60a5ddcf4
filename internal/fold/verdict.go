package fold

// ApplyResult tells what a record did to the view.
type ApplyResult struct {
	// Applied is false when the record is void for everyone.
	Applied bool
	// Reason tells why a record is void, or which of its entries are.
	Reason string
}

func applied() ApplyResult           { return ApplyResult{Applied: true} }
func void(reason string) ApplyResult { return ApplyResult{Reason: reason} }
