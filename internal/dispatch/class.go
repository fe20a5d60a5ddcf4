package dispatch

// Class is a request's priority among the requests of its team.
type Class string

// Priority classes, most urgent first.
const (
	ClassUrgent Class = "urgent"
	ClassNormal Class = "normal"
	ClassBulk   Class = "bulk"
)

// Valid reports whether c is one of the classes.
func (c Class) Valid() bool {
	return c == ClassUrgent || c == ClassNormal || c == ClassBulk
}
