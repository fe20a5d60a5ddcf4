package responsetest

// Sound are complete responses with status 200 and the body Body.
var Sound = []Response{
	{"length", ok + sized, KeepOpen},
	{"chunks", chunked + "3\r\n{\"n\r\n4\r\n\":1}\r\n0\r\n\r\n", KeepOpen},
	{"chunk size with zeros and capitals", framing("transfer-encoding: Chunked", "0007\r\n"+Body+"\r\n000\r\n\r\n"), KeepOpen},
	{"trailer", trailer("X-Checksum: 1"), KeepOpen},
	{"orderly end", ok + "\r\n" + Body, Close},
	{"orderly end of HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fieldsMark + "\r\n" + Body, Close},
	{"length in HTTP/1.0", "HTTP/1.0 200 OK\r\n" + fieldsMark + sized, Close},
	{"interim 100", "HTTP/1.1 100 Continue\r\n\r\n" + ok + sized, KeepOpen},
	{"several interim responses", "HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 103 Early Hints\r\nLink: </a>\r\n\r\n" + ok + sized, KeepOpen},
	{"interim before chunks", "HTTP/1.1 103 Early Hints\r\n\r\n" + chunked + chunk + "0\r\n\r\n", KeepOpen},
	{"no reason", statusLine("HTTP/1.1 200 "), KeepOpen},
	{"no blank after the status", statusLine("HTTP/1.1 200"), KeepOpen},
	{"reason above ASCII", statusLine("HTTP/1.1 200 \xc3\xa4"), KeepOpen},
	{"empty value", header("X:"), KeepOpen},
	{"value above ASCII", header("X: \xe4\xff"), KeepOpen},
	{"blanks and tabs around values", framing("X: \t a\tb \t\r\nContent-Length:\t7 ", Body), KeepOpen},
	{"one length twice", framing("Content-Length: 7\r\nContent-Length: 7", Body), KeepOpen},
	{"all characters of a name", header("a!#$%&'*+-.^_`|~09: z"), KeepOpen},
}
