package strictconn

// statusLine checks a status line byte by byte.
type statusLine struct {
	// n is how many bytes were checked, at most len(statusPattern).
	n int
	// minor is the minor version, 0 or 1, and status the status code.
	minor, status int
	afterCR       bool
}

// statusPattern is what a status line begins with: v is the minor version 0 or 1, s the first digit of
// the status, 1 to 5 (RFC 9110, 15), and d a further digit.
const statusPattern = "HTTP/1.v sdd"

// add checks the next byte and reports whether it ends the line.
func (l *statusLine) add(b byte) (done bool, err error) {
	if l.n < len(statusPattern) {
		if !l.matches(b) {
			return false, invalid(StatusLine, "byte %q where %q is expected", b, statusPattern[l.n:])
		}
		l.n++
		return false, nil
	}
	switch {
	case b == '\n':
		return true, nil
	case l.afterCR:
		return false, invalid(StatusLine, "CR inside the line")
	case b == '\r':
		l.afterCR = true
	case l.n == len(statusPattern):
		// A blank ends the status. Servers that send no reason often leave it out.
		if b != ' ' {
			return false, invalid(StatusLine, "byte %q after the status", b)
		}
		l.n++
	case !isText(b):
		return false, invalid(StatusLine, "byte %q in the reason", b)
	}
	return false, nil
}

// matches reports whether b may follow the bytes that were checked, and takes the version and status.
func (l *statusLine) matches(b byte) bool {
	switch want := statusPattern[l.n]; want {
	case 'v':
		l.minor = int(b) - '0'
		return b == '0' || b == '1'
	case 's', 'd':
		l.status = l.status*10 + int(b) - '0'
		return b >= '0' && b <= '9' && (want == 'd' || b >= '1' && b <= '5')
	default:
		return b == want
	}
}

// isText reports whether b may be in a reason or in the value of a field: no control byte but the tab.
func isText(b byte) bool { return b == '\t' || b >= ' ' && b != 0x7f }
