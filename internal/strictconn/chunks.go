package strictconn

// chunkState is where in a chunked body a scanner is.
type chunkState int

const (
	sizeStart chunkState = iota
	inSize
	inExtension
	sizeLF
	chunkData
	dataCR
	dataLF
	inTrailer
)

// chunks checks what is around the data of a chunked body, byte by byte.
type chunks struct {
	state chunkState
	// size is the size of the current chunk.
	size int64
	// lineBytes is the length of the line with the size, trailerBytes that of the trailer.
	lineBytes, trailerBytes int
	trailer                 fieldLines
}

// add checks the next byte outside the data and reports whether it ends the body.
func (c *chunks) add(b byte) (done bool, err error) {
	switch c.state {
	case sizeStart, inSize, inExtension:
		return false, c.addToSize(b)
	case sizeLF:
		if b != '\n' {
			return false, invalid(Chunk, "CR in the line of a size")
		}
		c.state = chunkData
		if c.size == 0 {
			c.state, c.trailer = inTrailer, fieldLines{part: Trailer}
		}
		c.lineBytes = 0
	case dataCR:
		if b != '\r' {
			return false, invalid(Chunk, "byte %q after the data", b)
		}
		c.state = dataLF
	case dataLF:
		if b != '\n' {
			return false, invalid(Chunk, "byte %q after the data", b)
		}
		c.state = sizeStart
	default:
		if c.trailerBytes++; c.trailerBytes > maxHeadBytes {
			return false, &InvalidError{Trailer, ErrTooLong}
		}
		return c.trailer.add(b)
	}
	return false, nil
}

// addToSize checks the next byte of the line with the size of a chunk.
func (c *chunks) addToSize(b byte) error {
	if c.lineBytes++; c.lineBytes > maxChunkLineBytes {
		return invalid(Chunk, "a line of more than %d bytes", maxChunkLineBytes)
	}
	digit := hexDigit(b)
	switch {
	case c.state == sizeStart:
		if digit < 0 {
			return invalid(Chunk, "byte %q instead of a size", b)
		}
		c.state, c.size = inSize, digit
	case c.state == inSize && digit >= 0:
		if c.size > maxBodyBytes>>4 {
			return invalid(Chunk, "a size above %d", int64(maxBodyBytes))
		}
		c.size = c.size<<4 | digit
	case b == '\r':
		c.state = sizeLF
	case c.state == inSize && b != ';' && b != ' ' && b != '\t' || !isText(b):
		return invalid(Chunk, "byte %q in the line of a size", b)
	default:
		c.state = inExtension
	}
	return nil
}

// hexDigit returns the value of a hexadecimal digit, or -1.
func hexDigit(b byte) int64 {
	switch {
	case b >= '0' && b <= '9':
		return int64(b - '0')
	case b|0x20 >= 'a' && b|0x20 <= 'f':
		return int64(b|0x20-'a') + 10
	default:
		return -1
	}
}
