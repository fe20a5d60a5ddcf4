package tokenquota

// HolderList are the other holders of a team's allowance.
type HolderList struct {
	All []string
	// First are those that may keep a booking of the request, and are asked before the others.
	// The list may contain the asking instance, which is not called.
	First []string
}
