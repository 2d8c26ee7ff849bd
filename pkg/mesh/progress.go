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

type receivedKey struct{}

// WithReceived returns a context for Call. Call invokes received, from its own goroutine,
// with the number of bytes of the reply that have arrived, each time that there are more. A
// caller can thereby wait longer for a large reply than for one that may never come.
func WithReceived(ctx context.Context, received func(bytes int)) context.Context {
	return context.WithValue(ctx, receivedKey{}, received)
}

// receivedOf returns the function that was set with WithReceived, or one that does nothing.
func receivedOf(ctx context.Context) func(bytes int) {
	if received, ok := ctx.Value(receivedKey{}).(func(bytes int)); ok {
		return received
	}
	return func(int) {}
}

// progressReader invokes progress with the number of bytes read so far, after each read
// that returned data.
type progressReader struct {
	io.Reader
	progress func(bytes int)
	total    int
}

func (r *progressReader) Read(p []byte) (int, error) {
	n, err := r.Reader.Read(p)
	if n > 0 {
		r.total += n
		r.progress(r.total)
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
