package strictconn

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
		f.framing.current, f.state = otherField, inValue
		return false, nil
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
