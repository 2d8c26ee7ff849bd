package pool

import (
	"bufio"
	"fmt"
	"net"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"radishturn.example/radishturn/pkg/model"
)

const (
	// connectTimeout bounds the time to open a connection.
	connectTimeout = time.Second
	// tcpUserTimeout is the TCP_USER_TIMEOUT: how long sent data may remain
	// unacknowledged before the connection counts as lost.
	tcpUserTimeout = 2 * time.Second
)

// DialFunc opens a connection to an address within a timeout.
type DialFunc func(address string, timeout time.Duration) (net.Conn, error)

// DialTCP opens a TCP connection.
func DialTCP(address string, timeout time.Duration) (net.Conn, error) {
	dialer := net.Dialer{Timeout: timeout, KeepAlive: -1, Control: setTCPUserTimeout}
	return dialer.Dial("tcp4", address)
}

func setTCPUserTimeout(_, _ string, raw syscall.RawConn) error {
	var option error
	err := raw.Control(func(fd uintptr) {
		option = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(tcpUserTimeout.Milliseconds()))
	})
	if err != nil {
		return err
	}
	return option
}

// dial opens a connection; the caller has already incremented opening.
func (p *Pool) dial() (*conn, error) {
	p.opened.Inc()
	raw, err := p.dialTarget(p.address, connectTimeout)
	c, err := p.dialed(raw, err)
	if err != nil {
		p.freed()
	}
	return c, err
}

// dialed adds a connection that was opened, or records that none was.
func (p *Pool) dialed(raw net.Conn, err error) (*conn, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.opening--
	if err != nil {
		return nil, err
	}
	if p.closed {
		_ = raw.Close()
		return nil, net.ErrClosed
	}
	reader := &replyReader{conn: raw}
	c := &conn{pool: p, net: raw, reader: reader, br: bufio.NewReaderSize(reader, readBufferBytes)}
	p.open[c] = true
	go c.readLoop()
	return c, nil
}

// connectError returns err, a failure to connect, wrapped with ErrNotSent.
func connectError(id model.TargetID, address string, err error) error {
	return fmt.Errorf("connect to %s at %s: %w: %w", id, address, ErrNotSent, err)
}
