package httpserver

import (
	"context"
	"net"
	"syscall"

	"golang.org/x/sys/unix"
)

// connKey is the key of a connection in the contexts of its requests.
type connKey struct{}

// withConn adds a new connection to its context.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// Waiting returns a function that reports whether the client of the request with this
// context still waits for the reply. The context alone ends only some time after the
// client has closed the connection: a process that was paused may serve a request whose
// client has long gone.
func Waiting(ctx context.Context) func() bool {
	c, _ := ctx.Value(connKey{}).(net.Conn)
	return func() bool { return ctx.Err() == nil && !closedByPeer(c) }
}

// closedByPeer reports whether the other side is known to have closed or reset the
// connection, also if bytes that it sent before are not read yet.
func closedByPeer(c net.Conn) bool {
	for {
		wrapped, ok := c.(interface{ NetConn() net.Conn })
		if !ok {
			break
		}
		c = wrapped.NetConn()
	}
	raw, ok := c.(syscall.Conn)
	if !ok {
		return false
	}
	control, err := raw.SyscallConn()
	if err != nil {
		return true
	}
	closed := false
	err = control.Control(func(fd uintptr) {
		state := []unix.PollFd{{Fd: int32(fd), Events: unix.POLLRDHUP}}
		n, err := unix.Poll(state, 0)
		closed = err == nil && n > 0 && state[0].Revents&(unix.POLLRDHUP|unix.POLLHUP|unix.POLLERR) != 0
	})
	return closed || err != nil
}
