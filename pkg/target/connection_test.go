package target

import (
	"net"
	"testing"

	. "github.com/onsi/gomega"
)

// countingConn records how many connections its client counts while it is closed.
type countingConn struct {
	net.Conn
	client *Client
	open   int
}

func (c *countingConn) Close() error {
	c.open = c.client.OpenConnections()
	return nil
}

// A connection that is no longer counted makes room for another one, so it must be
// closed by then.
func TestConnectionCountsUntilItIsClosed(t *testing.T) {
	g := NewWithT(t)
	client := &Client{}
	client.openConnections.Store(1)
	conn := &countingConn{client: client}
	counted := &countedConn{Conn: conn, client: client}
	g.Expect(counted.Close()).To(Succeed())
	g.Expect(conn.open).To(Equal(1))
	g.Expect(client.OpenConnections()).To(Equal(0))
}
