package promptcache

import "math"

// size is a number of tokens in a byte: 16 times its binary logarithm. The error is at most
// 2.2%, and the largest size is 62,000 tokens. 0 is no tokens.
type size uint8

const sizesPerOctave = 16

func sizeOf(tokens int) size {
	if tokens < 1 {
		return 0
	}
	return size(min(math.MaxUint8, max(1, math.Round(sizesPerOctave*math.Log2(float64(tokens))))))
}

var sizeTokens = func() (out [math.MaxUint8 + 1]int) {
	for i := range out[1:] {
		out[i+1] = int(math.Round(math.Exp2(float64(i+1) / sizesPerOctave)))
	}
	return out
}()

func (s size) tokens() int { return sizeTokens[s] }
