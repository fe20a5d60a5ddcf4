package upstream

// meanBytes is the decaying mean length of the responses of a service.
type meanBytes float64

// meanBytesShare is the weight of a new response in meanBytes; lengths differ by a factor of
// 20, so that the mean is taken over some 20 responses.
const meanBytesShare = 0.05

// assumedAnswerBytes is the length that is expected before the first response; answers have
// 0.5 to 9 KB.
const assumedAnswerBytes = 2000

func (p *Pool) meanAnswerBytes(service string) int {
	if m, ok := p.answerBytes[service]; ok {
		return int(*m)
	}
	return assumedAnswerBytes
}

func (p *Pool) recordAnswerBytes(service string, n int) {
	m, ok := p.answerBytes[service]
	if !ok {
		m = new(meanBytes)
		*m = meanBytes(n)
		p.answerBytes[service] = m
	}
	*m += (meanBytes(n) - *m) * meanBytesShare
}
