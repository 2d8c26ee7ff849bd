package httpserver

import (
	"encoding/binary"

	"golang.org/x/net/http2"
)

const (
	// frameHeadBytes is the length of the head of a frame of HTTP/2: three bytes of length,
	// type, flags, and four bytes of stream ID (RFC 9113, 4.1).
	frameHeadBytes  = 9
	frameTypeOffset = 3
	streamIDOffset  = 5
	// streamIDMask leaves out the reserved bit of a stream ID.
	streamIDMask = 1<<31 - 1
)

// frameCounter counts the requests that a client of HTTP/2 sends, from the bytes of its
// connection. The HTTP server answers some of them without a handler.
type frameCounter struct {
	// skip is the number of bytes until the next head of a frame, of which head has the
	// first bytes.
	skip int
	head []byte
	// newest is the highest stream ID so far; lower ones are those of trailers.
	newest uint32
}

func newFrameCounter() frameCounter {
	return frameCounter{skip: len(http2.ClientPreface), head: make([]byte, 0, frameHeadBytes)}
}

// count returns the number of requests that begin in p, the next bytes that were read.
func (f *frameCounter) count(p []byte) (requests int64) {
	for len(p) > 0 {
		if f.skip > 0 {
			n := min(f.skip, len(p))
			f.skip -= n
			p = p[n:]
			continue
		}
		n := min(frameHeadBytes-len(f.head), len(p))
		f.head = append(f.head, p[:n]...)
		p = p[n:]
		if len(f.head) == frameHeadBytes {
			requests += f.endHead()
		}
	}
	return requests
}

// endHead returns 1 if the head of a frame, which is whole, begins a request.
func (f *frameCounter) endHead() (requests int64) {
	f.skip = int(f.head[0])<<16 | int(f.head[1])<<8 | int(f.head[2])
	id := binary.BigEndian.Uint32(f.head[streamIDOffset:]) & streamIDMask
	if http2.FrameType(f.head[frameTypeOffset]) == http2.FrameHeaders && id > f.newest {
		f.newest = id
		requests = 1
	}
	f.head = f.head[:0]
	return requests
}
