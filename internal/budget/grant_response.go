package budget

// GrantResponse is the owner's answer.
type GrantResponse struct {
	// Offset is the log offset of the owner's view.
	Offset uint64 `json:"offset"`
	// ID repeats the request's id.
	ID uint64 `json:"id"`
	// Tokens is the amount granted.
	Tokens float64 `json:"tokens"`
	// TTLMS is how long the grant is valid on the holder's clock, in
	// milliseconds, counted from when the holder sent the request.
	TTLMS int64 `json:"ttl_ms,omitempty"`
	// Left is the level of the share's bucket after the grant, in tokens.
	Left float64 `json:"left"`
	// Refusal is set if the instance did not act as the share's owner.
	Refusal Refusal `json:"refusal,omitempty"`
}

// Refusal is the reason why an instance does not act as the owner of a share.
type Refusal string

// Reasons for a refusal.
const (
	// NotOwner means that the instance does not own the share in its view, or
	// that the team has a different number of shares there.
	NotOwner Refusal = "not_owner"
	// TakingOver means that the owner's takeover wait has not ended.
	TakingOver Refusal = "taking_over"
	// ViewTooOld means that the instance's view is older than MaxViewAge.
	ViewTooOld Refusal = "view_too_old"
)
