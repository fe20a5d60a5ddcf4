package fairqueue

// Class is the priority class of a request within its team.
type Class int

// Classes, most urgent first.
const (
	Urgent Class = iota
	Normal
	Bulk
	classCount
)

// ParseClass returns the class named by a header value; an empty name is
// Normal. It reports false for an unknown name.
func ParseClass(name string) (Class, bool) {
	switch name {
	case "urgent":
		return Urgent, true
	case "", "normal":
		return Normal, true
	case "bulk":
		return Bulk, true
	}
	return Normal, false
}

// String returns the name of the class.
func (c Class) String() string { return [...]string{"urgent", "normal", "bulk"}[c] }
