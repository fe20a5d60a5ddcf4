package poison

// BootStatus is the state of an agent's upstream, as returned by GET
// /poison/boot.
type BootStatus struct {
	BootID string `json:"boot_id,omitempty"`
	// Down is true when the agent could not read the boot id from the upstream.
	Down bool `json:"down,omitempty"`
}
