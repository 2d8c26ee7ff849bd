package httpserver

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/membudget"
)

// ordinaryClients is how many connections with short requests are open beside a large one.
const ordinaryClients = 300

// openOrdinary opens connections, each with a short request for a path.
func openOrdinary(address, path string, answered bool) {
	for range ordinaryClients {
		c, err := net.Dial("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		_, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: a\r\n\r\n", path)
		Expect(err).NotTo(HaveOccurred())
		if answered {
			_, err = c.Read(make([]byte, 1))
			Expect(err).NotTo(HaveOccurred())
		}
	}
}

// Guards against limits that a large request meets beside ordinary clients.
var _ = DescribeTable("The largest request is served beside ordinary connections", func(path string, answered bool, maxHead, body int) {
	limits := DefaultLimits.With(ShareMain, membudget.ForProcess(smallestMB))
	limits.MaxHeaderBytes = maxHead
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	Expect(err).NotTo(HaveOccurred())
	release := make(chan struct{})
	s := New("test", l, http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path == "/wait" {
			<-release
		}
		if _, err := io.ReadAll(r.Body); err != nil {
			w.WriteHeader(http.StatusBadRequest)
		}
	}), limits)
	go func() { _ = s.Run(GinkgoT().Context()) }()
	DeferCleanup(s.Close)
	DeferCleanup(func() { close(release) })
	openOrdinary(l.Addr().String(), path, answered)

	head, _ := shortLinesHead(maxHead)
	head = strings.Replace(head, "Content-Length: 1\r\n", fmt.Sprintf("Content-Length: %d\r\n", body), 1)
	Expect(statusOf(l.Addr().String(), head+strings.Repeat(" ", body))).To(Equal(http.StatusOK))
},
	Entry("that are idle, with a long head", "/", true, 64<<10, 1),
	Entry("that are busy, with a long head", "/wait", false, 64<<10, 1),
	Entry("that are idle, with a long body", "/", true, 16<<10, 3<<20),
	Entry("that are busy, with a long body", "/wait", false, 16<<10, 3<<20),
)
