package mesh

import (
	"context"
	"io"
)

// pieceBytes is the size of the pieces in which a message is written. Progress is
// reported after each.
const pieceBytes = 8 << 10

type progressKey struct{}

// WithProgress returns a context for Call. Call invokes progress, from its own goroutine,
// each time that the transport has taken a part of the request or received a part of the
// reply. The caller can thereby end a call that stands still without a limit on its total
// time.
func WithProgress(ctx context.Context, progress func()) context.Context {
	return context.WithValue(ctx, progressKey{}, progress)
}

// progressOf returns the function that was set with WithProgress, or one that does nothing.
func progressOf(ctx context.Context) func() {
	if progress, ok := ctx.Value(progressKey{}).(func()); ok {
		return progress
	}
	return func() {}
}

// progressReader invokes progress after each read that returned data.
type progressReader struct {
	io.Reader
	progress func()
}

func (r progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.progress()
	}
	return n, err
}

// writePieces writes payload and invokes progress after each piece.
func writePieces(w io.Writer, payload []byte, progress func()) error {
	for len(payload) > 0 {
		n := min(len(payload), pieceBytes)
		if _, err := w.Write(payload[:n]); err != nil {
			return err
		}
		payload = payload[n:]
		progress()
	}
	return nil
}
