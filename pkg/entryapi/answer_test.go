package entryapi_test

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/targetproto"
	"radishturn.example/radishturn/pkg/view"
)

// Guards against callers that end an instance by memory, since they do not read answers.
var _ = Describe("A long answer", func() {
	const (
		memoryMB = 256
		// answerBytes is more than sockets hold, and most of what one client may hold.
		answerBytes = 12 << 20
	)

	It("counts against the memory until it is taken, and others are not answered then", func() {
		b := &fakeServices{lease: view.LeaseHeld, hits: []targetproto.Hit{{ID: "1", Title: strings.Repeat("t", answerBytes)}}}
		url, budget := serveWithMemory(b, memoryMB)
		ask := func() (*http.Response, error) {
			client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}, Timeout: 20 * time.Second}
			return client.Post(url+"/v1/collections/shopfront/query", "application/json", strings.NewReader(validQuery))
		}
		first, err := ask()
		Expect(err).NotTo(HaveOccurred())
		Expect(budget.Used()).To(BeNumerically(">", answerBytes))
		_, err = ask()
		Expect(err).To(HaveOccurred())
		Expect(first.Body.Close()).To(Succeed())
		Eventually(budget.Used, 15*time.Second).Should(BeNumerically("<", answerBytes))
	})
})

// Guards against callers that hold a request with a body that the limit excludes.
var _ = Describe("A body that is announced over the limit", func() {
	It("is refused before it arrives", func() {
		url := serve(&fakeServices{lease: view.LeaseHeld})
		c, err := net.Dial("tcp", strings.TrimPrefix(url, "http://"))
		Expect(err).NotTo(HaveOccurred())
		DeferCleanup(c.Close)
		Expect(c.SetDeadline(time.Now().Add(5 * time.Second))).To(Succeed())
		_, err = fmt.Fprintf(c, "POST /v1/collections/shopfront/query HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n", 8<<30)
		Expect(err).NotTo(HaveOccurred())
		response, err := http.ReadResponse(bufio.NewReader(c), nil)
		Expect(err).NotTo(HaveOccurred())
		Expect(response.Body.Close()).To(Succeed())
		Expect(response.StatusCode).To(Equal(http.StatusRequestEntityTooLarge))
	})
})
