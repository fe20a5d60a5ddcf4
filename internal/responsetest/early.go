package responsetest

// Early are responses to uploads that have not been read whole.
var Early = []struct {
	Response
	// Complete tells that the response must be delivered; the others are broken off.
	Complete bool
}{
	{Response{"length, reset", ok + sized, Reset}, true},
	{Response{"chunks, reset", chunked + chunk + "0\r\n\r\n", Reset}, true},
	{Response{"orderly end", ok + "\r\n" + Body, HalfClose}, true},
	{Response{"orderly end, reset later", ok + "\r\n" + Body, HalfCloseReset}, true},
	{Response{"reset without a length", ok + "\r\n" + Body, Reset}, false},
	{Response{"reset before the length", ok + "Content-Length: 8\r\n\r\n" + Body, Reset}, false},
	{Response{"reset without the last chunk", chunked + chunk, Reset}, false},
}
