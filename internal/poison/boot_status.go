package poison

// BootStatus tells how an agent's upstream stands; it answers GET /poison/boot.
type BootStatus struct {
	BootID string `json:"boot_id,omitempty"`
	// Down is true when the upstream does not answer.
	Down bool `json:"down,omitempty"`
}
