package entryapi_test

import (
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
