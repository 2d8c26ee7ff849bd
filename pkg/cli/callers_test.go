package cli_test

import (
	"bytes"
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/callerstats"
	"radishturn.example/radishturn/pkg/cli"
)

var _ = Describe("callers", func() {
	list := func(addresses ...string) (string, error) {
		var out bytes.Buffer
		command := cli.Command()
		command.SetOut(&out)
		command.SetArgs([]string{"callers", "--metrics", strings.Join(addresses, ",")})
		err := command.Execute()
		return out.String(), err
	}
	serve := func(sections map[string]any) string {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			Expect(json.NewEncoder(w).Encode(sections)).To(Succeed())
		}))
		DeferCleanup(s.Close)
		return strings.TrimPrefix(s.URL, "http://")
	}
	urgent, unused := 0, int64(61_000)
	entry := map[string]any{"callers": callerstats.Status{TableVersion: 7, Accounts: []callerstats.Account{
		{Name: "mira", Keys: 1},
		{Name: "ralo", Priority: &urgent, Keys: 2, Requests: 40, Refusals: 3, UnusedMilliseconds: &unused},
	}}}

	It("adds the requests of several instances up", func() {
		out, err := list(serve(entry), serve(entry))
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("2 instances, routing table 7"))
		Expect(out).To(MatchRegexp(`ralo +0 +2 +80 +6 +1m1s ago`))
		Expect(out).To(MatchRegexp(`mira +of the route +1 +0 +0 +none`))
	})

	It("names the instances that do not answer, and lists the others", func() {
		silent := serve(map[string]any{})
		out, err := list(serve(entry), silent)
		Expect(err).To(MatchError(ContainSubstring(silent)))
		Expect(out).To(ContainSubstring("1 instances"))
	})
})
