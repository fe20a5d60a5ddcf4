package responsetest

// Invalid are responses that break the protocol.
var Invalid = []Response{
	{"status 000", statusLine("HTTP/1.1 000 x"), KeepOpen},
	{"status 000 without a body", "HTTP/1.1 000 x\r\n" + fieldsMark + "Content-Length: 0\r\n\r\n", KeepOpen},
	{"status 000 before a response", "HTTP/1.1 000 x\r\n" + fieldsMark + "\r\n" + ok + sized, KeepOpen},
	{"status 099", statusLine("HTTP/1.1 099 x"), KeepOpen},
	{"status 600", statusLine("HTTP/1.1 600 x"), KeepOpen},
	{"status 999", statusLine("HTTP/1.1 999 x"), KeepOpen},
	{"status of two digits", statusLine("HTTP/1.1 20 OK"), KeepOpen},
	{"status of four digits", statusLine("HTTP/1.1 2000 OK"), KeepOpen},
	{"status with a sign", statusLine("HTTP/1.1 +20 OK"), KeepOpen},
	{"status with a letter", statusLine("HTTP/1.1 2x0 OK"), KeepOpen},
	{"no status", statusLine("HTTP/1.1"), KeepOpen},
	{"two blanks before the status", statusLine("HTTP/1.1  200 OK"), KeepOpen},
	{"control byte in the reason", statusLine("HTTP/1.1 200 O\x01K"), KeepOpen},
	{"version 2.0", statusLine("HTTP/2.0 200 OK"), KeepOpen},
	{"version without a number", statusLine("HTTP/x.y 200 OK"), KeepOpen},
	{"other protocol", statusLine("ICY 200 OK"), KeepOpen},
	{"empty line before the status line", "\r\n" + ok + sized, KeepOpen},
	{"bytes that are no response", "\x00\xff\x16\x03\x01", KeepOpen},
	{"part of a status line", "HTTP/1.1 0", KeepOpen},

	{"end in the head", "HTTP/1.1 200 OK\r\n" + fieldsMark + "Content-Len", Close},
	{"end before the length", ok + "Content-Length: 8\r\n\r\n" + Body, Close},
	{"end in a chunk", chunked + "8\r\n" + Body, Close},
	{"end without the last chunk", chunked + chunk, Close},
	{"reset before the length", ok + "Content-Length: 8\r\n\r\n" + Body, Reset},
	{"reset without the last chunk", chunked + chunk, Reset},
}
