package streamorigin

import "context"

// Peers asks other entry instances.
type Peers interface {
	// AskOrigin returns the answers of other instances about the stream that request id of a
	// service began. alone tells that no other instance is known.
	AskOrigin(ctx context.Context, service, id string) (answers []Answer, alone bool)
}

// Answer is what one instance knows of a stream, and of the versions of its service.
type Answer struct {
	// Known tells that the stream began at Version of Service.
	Known   bool   `json:"known,omitempty"`
	Service string `json:"service,omitempty"`
	Version string `json:"version,omitempty"`
	// HasSole tells that the service has had only the version Sole, as far as the instance
	// knows. Covered tells that it knows that for as long as a stream lasts, and Fresh that its
	// list of upstreams is current.
	HasSole bool   `json:"has_sole,omitempty"`
	Sole    string `json:"sole,omitempty"`
	Covered bool   `json:"covered,omitempty"`
	Fresh   bool   `json:"fresh,omitempty"`
}

// confirmSole reports whether the answers of other instances show that version is the only one
// that a service has had for as long as a stream lasts. An instance without a current list
// counts only if none has one: then the store is out for all, and none can have learned of
// another version.
func confirmSole(answers []Answer, version string) bool {
	fresh := false
	for _, a := range answers {
		if !a.HasSole || a.Sole != version {
			return false
		}
		fresh = fresh || a.Fresh
	}
	for _, a := range answers {
		if a.Covered && a.Fresh == fresh {
			return true
		}
	}
	return false
}
