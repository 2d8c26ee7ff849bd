// Package statuslinetest holds replies for the tests of all code that reads replies.
package statuslinetest

import (
	"bufio"
	"io"
	"net"
	"net/http"
)

// Malformed are status lines that no reply may have.
var Malformed = []string{
	"HTTP/1.1 000 X", "HTTP/1.1 000", "HTTP/1.1 099 X", "HTTP/1.1 600 X", "HTTP/1.1 999 X", "HTTP/1.1 101 Switching Protocols",
	"HTTP/9.9 200 OK", "HTTP/2.0 200 OK", "HTTP/1.2 200 OK", "HTTP/01.1 200 OK", "HTTP/1.10 200 OK", "HTTP/1 200 OK", "http/1.1 200 OK", "XTTP/1.1 200 OK",
	"HTTP/1.1  200 OK", "HTTP/1.1\t200 OK", " HTTP/1.1 200 OK", "HTTP/1.1 200\tOK", "HTTP/1.1 200OK", "HTTP/1.1 20 OK", "HTTP/1.1 2000 OK",
	"HTTP/1.1 +20 OK", "HTTP/1.1 -20 OK", "HTTP/1.1 2x0 OK", "HTTP/1.1 200\rOK", "HTTP/1.1200 OK", "HTTP/1.1 ", "HTTP/1.1", "200 OK", "",
}

// Interim are malformed heads that follow a whole interim one.
var Interim = []string{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 X", "HTTP/1.1 103 Early Hints\r\nA: b\r\n\r\nHTTP/9.9 200 OK"}

// WellFormed are status lines of status 200.
var WellFormed = []string{"HTTP/1.1 200 OK", "HTTP/1.0 200 OK", "HTTP/1.1 200 ", "HTTP/1.1 200", "HTTP/1.1 200  two  spaces", "HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK"}

// Serve answers each request with a status line and the rest of a reply, and returns the
// address.
func Serve(line, rest string) (address string, stop func(), err error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go answer(c, line+"\r\n"+rest)
		}
	}()
	return l.Addr().String(), func() { _ = l.Close() }, nil
}

func answer(c net.Conn, text string) {
	defer func() { _ = c.Close() }()
	br := bufio.NewReader(c)
	for {
		r, err := http.ReadRequest(br)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, r.Body)
		if _, err := io.WriteString(c, text); err != nil {
			return
		}
	}
}
