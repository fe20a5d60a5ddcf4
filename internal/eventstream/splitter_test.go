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

// TestJoinedRuns guards against events of two runs that are joined: an event
// that is missing, comes twice, or begins anew.
func TestJoinedRuns(t *testing.T) {
	for _, row := range []struct {
		last, stream, given string
		bad                 bool
	}{
		{"", "id: 1\n\nid: 2\n\n", "id: 1\n\nid: 2\n\n", false},
		{"", "id: 2\n\n", "", true},
		{"", "id: 1\n\nid: 3\n\n", "id: 1\n\n", true},
		{"", "id: 1\n\nid: 1\n\n", "id: 1\n\n", true},
		{"7", "id: 8\n\n", "id: 8\n\n", false},
		{"7", "id: 1\n\n", "", true},
		{"7", "id: 9\n\n", "", true},
		{"x", "id: y\n\n", "id: y\n\n", false},
		{"", "data: a\n\n", "data: a\n\n", false},
	} {
		check := is.New(t)
		s := Splitter{LastID: row.last}
		got, err := s.Add([]byte(row.stream))
		check.Equal(string(got), row.given)
		check.Equal(err != nil, row.bad)
	}
}
