package target_test

import (
	"context"
	"fmt"
	"net"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/failure"
	"radishturn.example/radishturn/pkg/statusline/statuslinetest"
	"radishturn.example/radishturn/pkg/target"
	"radishturn.example/radishturn/pkg/targetproto"
)

// Guards against a success that no target sent: net/http accepts other versions, statuses
// such as 000, and several spaces.
var _ = Describe("a reply with a malformed head", func() {
	client := func(line, rest string) *target.Client {
		GinkgoHelper()
		address, stop, err := statuslinetest.Serve(line, rest)
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(stop)
		resolved, err := net.ResolveTCPAddr("tcp4", address)
		Expect(err).NotTo(HaveOccurred())
		c := newClient(resolved)
		DeferCleanup(c.Close)
		return c
	}
	reply := func() string {
		return fmt.Sprintf("%s: r-1\r\n%s: s1\r\n%s: %s\r\nContent-Length: %d\r\n\r\n%s",
			targetproto.HeaderRequest, targetproto.HeaderSnapshot, targetproto.HeaderLeaf, leaf, len(validReply()), validReply())
	}
	It("is no answer to a query, and the query may have run", func() {
		for _, line := range append(statuslinetest.Malformed, statuslinetest.Interim...) {
			result := sendQuery(client(line, reply()))
			Expect(result.Kind).NotTo(Equal(target.KindOK), "%q", line)
			Expect(result.Reply).To(BeNil(), "%q", line)
			Expect(result.Err.Ran).NotTo(Equal(failure.NotRun), "%q", line)
		}
		for _, line := range statuslinetest.WellFormed {
			Expect(sendQuery(client(line, reply())).Kind).To(Equal(target.KindOK), "%q", line)
		}
	})
	It("is no answer with two signatures of its origin", func() {
		twice := fmt.Sprintf("%s: r-1\r\n", targetproto.HeaderRequest)
		Expect(sendQuery(client("HTTP/1.1 200 OK", twice+reply())).Reply).To(BeNil())
	})
	It("is no answer to a probe", func() {
		health := "Content-Type: application/json\r\nContent-Length: 2\r\n\r\n{}"
		ctx, cancel := context.WithTimeout(context.Background(), 10*time.Second)
		defer cancel()
		_, err := client("HTTP/1.1 200 OK", health).Health(ctx)
		Expect(err).NotTo(HaveOccurred())
		for _, line := range statuslinetest.Malformed {
			_, err := client(line, health).Health(ctx)
			Expect(err).To(HaveOccurred(), "%q", line)
		}
	})
	It("leaves the outcome of an order unknown", func() {
		for _, line := range statuslinetest.Malformed {
			o := &target.Order{Request: "r-1", IdempotencyKey: "k", RemainingMillis: 1000}
			result := client(line, reply()).Order(context.Background(), o, func() bool { return true })
			Expect(result.Kind).NotTo(Equal(target.KindOK), "%q", line)
			Expect(result.Err.Ran).NotTo(Equal(failure.NotRun), "%q", line)
		}
	})
})
