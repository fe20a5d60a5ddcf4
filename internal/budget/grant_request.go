package budget

// GrantRequest asks the owner of a share for tokens.
type GrantRequest struct {
	// Offset is the log offset of the sender's view.
	Offset uint64 `json:"offset"`
	// Holder is the incarnation of the requesting entry instance.
	Holder string `json:"holder"`
	// ID is unique per holder and team. The owner answers a repeated id with the
	// first grant, so that a duplicated message does not take tokens twice.
	ID   uint64 `json:"id"`
	Team string `json:"team"`
	// Share counts from 0 to Shares-1.
	Share int `json:"share"`
	// Shares is the number of the team's shares in the sender's view. The owner
	// refuses the request if its own view has a different number.
	Shares int `json:"shares"`
	// Want is the most that the holder can use, in tokens.
	Want float64 `json:"want"`
	// Min is the smallest useful grant, in tokens. The owner grants nothing if it
	// has less.
	Min float64 `json:"min,omitempty"`
	// Spent is how many of the team's tokens the holder spent since it last
	// reported them to an owner. It is for metrics only.
	Spent float64 `json:"spent,omitempty"`
	// Returns lists unspent tokens of earlier grants from this share.
	Returns []Return `json:"returns,omitempty"`
}

// Return gives back unspent tokens of one grant.
type Return struct {
	ID     uint64  `json:"id"`
	Tokens float64 `json:"tokens"`
}
