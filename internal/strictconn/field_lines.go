package strictconn

import "strings"

// lineState is where in a field line a scanner is.
type lineState int

const (
	lineStart lineState = iota
	inName
	inValue
	// valueCR is after the CR that ends a line, lastCR after that of the empty line.
	valueCR
	lastCR
)

// fieldLines checks the field lines of a head or trailer byte by byte, up to the empty line.
type fieldLines struct {
	part  Part
	state lineState
	lines int
	// name is the name of the current field in lower case, or its beginning: long enough for the names
	// that matter.
	name [32]byte
	// nameLen is the whole length of the name.
	nameLen int
	framing framing
}

// add checks the next byte and reports whether it ends the lines.
func (f *fieldLines) add(b byte) (done bool, err error) {
	if b == '\n' && f.part == Trailer && f.state != valueCR && f.state != lastCR {
		// Recipients may take a single LF in a head for the end of a line, but not in a chunked body.
		return false, invalid(Trailer, "LF without CR")
	}
	switch f.state {
	case lineStart:
		return f.startLine(b)
	case inName:
		return false, f.addToName(b)
	case inValue:
		switch {
		case b == '\r':
			f.state = valueCR
		case b == '\n':
			return false, f.endLine()
		case !isText(b):
			return false, invalid(f.part, "byte %q in the value of a field", b)
		default:
			f.framing.addToValue(b)
		}
		return false, nil
	case valueCR:
		if b != '\n' {
			return false, invalid(f.part, "CR in the value of a field")
		}
		return false, f.endLine()
	default:
		if b != '\n' {
			return false, invalid(f.part, "CR at the start of a line")
		}
		return true, nil
	}
}

func (f *fieldLines) startLine(b byte) (done bool, err error) {
	switch b {
	case '\r':
		f.state = lastCR
		return false, nil
	case '\n':
		return true, nil
	case ' ', '\t':
		return false, invalid(f.part, "a line that begins with a blank")
	}
	f.nameLen, f.state = 0, inName
	return false, f.addToName(b)
}

func (f *fieldLines) addToName(b byte) error {
	switch {
	case b == ':' && f.nameLen > 0:
		f.state = inValue
		return f.framing.begin(string(f.name[:min(f.nameLen, len(f.name))]), f.part)
	case b == '\r' || b == '\n':
		return invalid(f.part, "a line without a colon")
	case !isTokenByte(b):
		return invalid(f.part, "byte %q in the name of a field", b)
	}
	if f.nameLen < len(f.name) {
		if b >= 'A' && b <= 'Z' {
			b |= 0x20
		}
		f.name[f.nameLen] = b
	}
	f.nameLen++
	return nil
}

func (f *fieldLines) endLine() error {
	f.state = lineStart
	if f.lines++; f.lines > MaxLines {
		return &InvalidError{f.part, ErrTooManyLines}
	}
	return f.framing.end()
}

// isTokenByte reports whether b may be in the name of a field (tchar of RFC 9110, 5.6.2).
func isTokenByte(b byte) bool {
	return b >= 'a' && b <= 'z' || b >= 'A' && b <= 'Z' || b >= '0' && b <= '9' || strings.IndexByte("!#$%&'*+-.^_`|~", b) >= 0
}
