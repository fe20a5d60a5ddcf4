package speed

import "math/bits"

// Prompts are classed by octaves of their tokens. The time to read a prompt is not in
// proportion to its length: it has a term that grows with the square, and prompts are read
// in chunks of thousands of tokens.
const (
	// smallestClassBits makes prompts below 512 tokens one class.
	smallestClassBits = 9
	sizeClasses       = 7
)

func sizeClass(tokens int) int {
	return min(sizeClasses-1, max(0, bits.Len(uint(max(0, tokens)))-smallestClassBits))
}
