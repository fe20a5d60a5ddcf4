package soak

import "bytes"

// responseStart is what each response begins with.
var responseStart = []byte("HTTP/1.1 ")

// brokenHeader is in the head of each response that breakResponse makes invalid. No caller may get it.
const brokenHeader = "Soak-Broken"

// breakWays is the number of ways in which breakResponse breaks responses.
const breakWays = 6

// breakResponse returns the first bytes of a response as a server that breaks the protocol would send
// them, and whether the server resets the connection after them. way is below breakWays.
func breakResponse(p []byte, way int) (broken []byte, reset bool) {
	line, rest, found := bytes.Cut(p, []byte("\r\n"))
	if !bytes.HasPrefix(p, responseStart) || !found {
		return p, false
	}
	with := func(line []byte, field string) []byte {
		return bytes.Join([][]byte{line, []byte(brokenHeader + ": 1"), []byte(field), rest}, []byte("\r\n"))
	}
	switch way {
	case 0:
		return with([]byte("HTTP/1.1 000 x"), "X: y"), false
	case 1:
		return with(line, "X Y: z"), false
	case 2:
		return with(line, "X\x01: z"), false
	case 3:
		return with(line, "Content-Length: 1\r\nContent-Length: 2"), false
	case 4:
		return append([]byte("HTTP/1.1 103 Early Hints\r\nX Y: z\r\n\r\n"), with(line, "X: y")...), false
	default:
		return p[:len(p)-1], true
	}
}
