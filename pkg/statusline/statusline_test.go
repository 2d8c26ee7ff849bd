package statusline_test

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"sync/atomic"
	"testing"
	"testing/iotest"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/statusline"
	"radishturn.example/radishturn/pkg/statusline/statuslinetest"
)

// replyConn is a connection that answers with fixed bytes.
type replyConn struct {
	net.Conn
	r io.Reader
}

func (c replyConn) Read(p []byte) (int, error)  { return c.r.Read(p) }
func (c replyConn) Write(p []byte) (int, error) { return len(p), nil }

// readOver reads a reply through a Conn, in pieces of one byte or at once.
func readOver(text string, single bool) ([]byte, error) {
	r := io.Reader(bytes.NewReader([]byte(text)))
	if single {
		r = iotest.OneByteReader(r)
	}
	c := statusline.NewConn(replyConn{r: r})
	_, _ = c.Write([]byte("GET / HTTP/1.1\r\n\r\n"))
	return io.ReadAll(c)
}

// Guards against a malformed reply that a lenient reader gets to see, whatever the pieces
// in which it arrives, and against a valid one that is changed.
func TestOnlyValidRepliesPass(t *testing.T) {
	g := NewWithT(t)
	for _, single := range []bool{true, false} {
		for _, line := range append(statuslinetest.Malformed, statuslinetest.Interim...) {
			_, err := readOver(line+"\r\nA: b\r\n\r\n", single)
			g.Expect(err).To(MatchError(statusline.ErrMalformed), "%q", line)
		}
		for _, line := range statuslinetest.WellFormed {
			text := line + "\r\nA: b\r\n\r\nHTTP/1.1 000 is a part of the body\r\n"
			got, err := readOver(text, single)
			g.Expect(err).NotTo(HaveOccurred(), "%q", line)
			g.Expect(string(got)).To(Equal(text))
		}
	}
}

// Guards against a body that is taken for a head, since a target that refuses a request
// replies before it has read all of it.
func TestAReplyMayBeginBeforeItsRequestEnds(t *testing.T) {
	g := NewWithT(t)
	c := statusline.NewConn(replyConn{r: iotest.OneByteReader(bytes.NewReader([]byte("HTTP/1.1 503 No\r\nContent-Length: 4\r\n\r\nbody")))})
	_, _ = c.Write([]byte("POST / HTTP/1.1\r\nContent-Length: 9000\r\n\r\nbody"))
	head := make([]byte, 38)
	_, err := io.ReadFull(c, head)
	g.Expect(err).NotTo(HaveOccurred())
	_, _ = c.Write([]byte("the rest of the body"))
	rest, err := io.ReadAll(c)
	g.Expect(err).NotTo(HaveOccurred())
	g.Expect(string(rest)).To(Equal("body"))
}

// Guards against a request that net/http sends again after a malformed reply, though it
// may have run: it does so if a kept connection fails before the first byte.
func TestAMalformedReplyIsNotAskedForAgain(t *testing.T) {
	g := NewWithT(t)
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	g.Expect(err).NotTo(HaveOccurred())
	defer func() { _ = l.Close() }()
	var requests atomic.Int64
	go func() {
		for c, err := l.Accept(); err == nil; c, err = l.Accept() {
			go func() {
				br := bufio.NewReader(c)
				for _, err := http.ReadRequest(br); err == nil; _, err = http.ReadRequest(br) {
					line := "HTTP/1.1 200 OK"
					if requests.Add(1) > 1 {
						line = "HTTP/1.1 000 X"
					}
					_, _ = io.WriteString(c, line+"\r\nContent-Length: 0\r\n\r\n")
				}
			}()
		}
	}()
	client := &http.Client{Transport: statusline.Transport(), Timeout: 10 * time.Second}
	response, err := client.Get("http://" + l.Addr().String())
	g.Expect(err).NotTo(HaveOccurred())
	_ = response.Body.Close()
	_, err = client.Get("http://" + l.Addr().String())
	g.Expect(err).To(HaveOccurred())
	g.Expect(requests.Load()).To(BeEquivalentTo(2))
}

// FuzzConn checks that the pieces in which a reply arrives make no difference, and that a
// reply that passes begins with a valid status line.
func FuzzConn(f *testing.F) {
	for _, line := range append(append(statuslinetest.Malformed, statuslinetest.WellFormed...), statuslinetest.Interim...) {
		f.Add(line + "\r\nA: b\r\n\r\n")
	}
	f.Fuzz(func(t *testing.T, text string) {
		whole, errWhole := readOver(text, false)
		_, errSingle := readOver(text, true)
		if errors.Is(errWhole, statusline.ErrMalformed) != errors.Is(errSingle, statusline.ErrMalformed) {
			t.Fatalf("%q: %v at once, %v in single bytes", text, errWhole, errSingle)
		}
		line, _, ended := bytes.Cut([]byte(text), []byte("\n"))
		if _, err := statusline.Parse(bytes.TrimSuffix(line, []byte("\r"))); ended && err != nil && errWhole == nil && len(whole) > 0 {
			t.Fatalf("%q passes", text)
		}
	})
}
