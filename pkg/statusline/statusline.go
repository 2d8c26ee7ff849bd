// Package statusline parses the status lines of replies strictly, and makes net/http,
// which is lenient, read only replies that begin with a valid one.
package statusline

import "errors"

// ErrMalformed means that a reply does not begin with a valid status line.
var ErrMalformed = errors.New("malformed status line")

const (
	// versionBytes is the length of a version with the space after it.
	versionBytes = len("HTTP/1.1 ")
	// prefixBytes is the length of the shortest status line.
	prefixBytes = versionBytes + len("200")

	minStatus, maxStatus     = 100, 599
	statusSwitchingProtocols = 101
	firstFinal               = 200
)

// Parse returns the status of a status line: version HTTP/1.0 or HTTP/1.1, a space, three
// digits from 100 to 599, and then a space or the end of the line. The line comes without
// the bytes that end it. Status 101 is malformed, since no request asks for it.
func Parse(line []byte) (status int, err error) {
	if len(line) < prefixBytes {
		return 0, ErrMalformed
	}
	if v := string(line[:versionBytes]); v != "HTTP/1.1 " && v != "HTTP/1.0 " {
		return 0, ErrMalformed
	}
	for _, d := range line[versionBytes:prefixBytes] {
		if d < '0' || d > '9' {
			return 0, ErrMalformed
		}
		status = 10*status + int(d-'0')
	}
	switch {
	case status < minStatus || status > maxStatus || status == statusSwitchingProtocols:
		return 0, ErrMalformed
	case len(line) > prefixBytes && line[prefixBytes] != ' ':
		return 0, ErrMalformed
	}
	return status, nil
}

// Interim reports whether another head follows that with this status.
func Interim(status int) bool { return status < firstFinal }
