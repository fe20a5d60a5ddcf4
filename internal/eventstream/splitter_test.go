package eventstream

import (
	"strings"
	"testing"

	"github.com/matryer/is"
)

// TestSplit guards against a part of an event that is given out before the
// event is whole, for every way to cut a stream in two.
func TestSplit(t *testing.T) {
	const stream = "id: 1\ndata: a\n\nid: 2\ndata: bc\n\nid: 3\nda"
	whole := stream[:strings.LastIndex(stream, "\n\n")+2]
	for cut := range len(stream) + 1 {
		check := is.New(t)
		var s Splitter
		first, err := s.Add([]byte(stream[:cut]))
		check.NoErr(err)
		got := string(first)
		check.True(got == "" || strings.HasSuffix(got, "\n\n")) // only whole events
		second, err := s.Add([]byte(stream[cut:]))
		check.NoErr(err)
		got += string(second)
		check.Equal(got, whole)
		check.Equal(s.LastID, "2")
		check.Equal(s.Events, 2)
		check.True(s.Partial())
		s.Reset()
		check.True(!s.Partial())
	}
}

// TestEndlessEvent guards against memory that grows with an event without end.
func TestEndlessEvent(t *testing.T) {
	check := is.New(t)
	var s Splitter
	_, err := s.Add(make([]byte, maxEventBytes))
	check.NoErr(err)
	_, err = s.Add([]byte("x"))
	check.True(err != nil)
}
