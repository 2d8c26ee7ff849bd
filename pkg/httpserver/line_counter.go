package httpserver

import "bytes"

// maxBufferedLines is how many of the shortest lines, "a:" and its end, fit in the buffer.
const maxBufferedLines = bufferBytes / 4

var newLine = []byte("\n")

// lineCounter counts the header lines of one head, up to the empty line that ends it.
type lineCounter struct {
	lines int64
	// begun is set if a part of a line was read, and ended if the empty line was.
	begun, ended bool
	// after is the number of lines behind the head: those of its body or of the next head.
	after int64
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
	c.countAfter(p)
	return c.lines
}

// countAfter adds the lines in p, which was read behind the head.
func (c *lineCounter) countAfter(p []byte) { c.after += int64(bytes.Count(p, newLine)) }

// next returns the counter of the next head, of which the HTTP server may have read all
// that came behind this one, up to the size of its buffer.
func (c *lineCounter) next() lineCounter {
	lines := min(c.after, maxBufferedLines)
	return lineCounter{lines: lines, after: lines, begun: true}
}
