package residency

// ruleOverrides switches off single safety rules for the negative-control tests.
// The zero value leaves every rule on.
type ruleOverrides struct {
	// ignoreMemoryLimit reserves memory even if there is not enough.
	ignoreMemoryLimit bool
	// skipViewCheck sends load orders without checking the view.
	skipViewCheck bool
	// freeUnknown frees the memory of a load of unknown outcome although its order
	// may still arrive.
	freeUnknown bool
	// reportBeforeUnload reports a release before the unload is confirmed.
	reportBeforeUnload bool
	// zeroFence sends the lowest fencing token with every order.
	zeroFence bool
}
