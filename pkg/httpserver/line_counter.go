package httpserver

import "bytes"

// lineCounter counts the header lines of one head, up to the empty line that ends it.
type lineCounter struct {
	lines int64
	// begun is set if a part of a line was read, and ended if the empty line was.
	begun, ended bool
}

// count adds the lines in p, the next bytes that were read, and returns the sum.
func (c *lineCounter) count(p []byte) int64 {
	for len(p) > 0 && !c.ended {
		line, rest, found := bytes.Cut(p, []byte("\n"))
		c.begun = c.begun || len(bytes.TrimSuffix(line, []byte("\r"))) > 0
		switch {
		case found && c.begun:
			c.lines++
			c.begun = false
		case found:
			c.ended = true
		}
		p = rest
	}
	return c.lines
}
