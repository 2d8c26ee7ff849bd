package cli_test

import (
	"bytes"
	"encoding/json"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/cli"
	"radishturn.example/radishturn/pkg/control/server"
	"radishturn.example/radishturn/pkg/dispatch"
	"radishturn.example/radishturn/pkg/lease"
	"radishturn.example/radishturn/pkg/metricsapi"
	"radishturn.example/radishturn/pkg/view"
)

var _ = Describe("status --metrics", func() {
	// show serves a status and returns the output of the command for it.
	show := func(sections map[string]any, args ...string) (string, error) {
		s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
			Expect(r.URL.Path).To(Equal(metricsapi.StatusPath))
			Expect(json.NewEncoder(w).Encode(sections)).To(Succeed())
		}))
		DeferCleanup(s.Close)
		var out bytes.Buffer
		command := cli.Command()
		command.SetOut(&out)
		command.SetArgs(append([]string{"status", "--metrics", strings.TrimPrefix(s.URL, "http://")}, args...))
		err := command.Execute()
		return out.String(), err
	}
	entry := map[string]any{
		"lease": lease.Status{Lease: view.LeaseHeld, LeftMilliseconds: 2100, Instances: 6},
		"dispatch": dispatch.Status{TableVersion: 7, Targets: []dispatch.TargetStatus{
			{ID: "i-usual", Service: "s1", Cost: 1},
			{ID: "i-gone", Service: "s1", Cost: 4, Unused: "unreachable"},
			{ID: "i-dear", Service: "s2", Cost: 1.2, FleetCost: 3.5},
		}},
	}

	It("lists the targets of an entry that are unused or cost more than usual", func() {
		out, err := show(entry)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(And(ContainSubstring("lease held, 2100 ms left"), ContainSubstring("routing table 7, 3 targets")))
		Expect(out).To(And(ContainSubstring("i-gone"), ContainSubstring("unreachable"), ContainSubstring("i-dear")))
		Expect(out).NotTo(ContainSubstring("i-usual"))
	})

	It("prints all targets as JSON", func() {
		out, err := show(entry, "--json")
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring(`"id": "i-usual"`))
	})

	It("prints the counts of a leader", func() {
		out, err := show(map[string]any{"control": server.Status{Leader: &server.LeaderStatus{Leases: 78, HighCostTargets: 3}}})
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(And(ContainSubstring("leads: 78 leases"), ContainSubstring("3 dear")))
	})

	It("shows the duty of the member that may act", func() {
		address := func(d *server.DutyStatus) string {
			s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				Expect(json.NewEncoder(w).Encode(map[string]any{"control": server.Status{Duty: d}})).To(Succeed())
			}))
			DeferCleanup(s.Close)
			return strings.TrimPrefix(s.URL, "http://")
		}
		run := func(addresses ...string) (string, error) {
			var out bytes.Buffer
			command := cli.Command()
			command.SetOut(&out)
			command.SetArgs([]string{"duties", "--metrics", strings.Join(addresses, ",")})
			err := command.Execute()
			return out.String(), err
		}
		follower := address(&server.DutyStatus{Name: "usage", Holder: "10.1.0.8", Token: 17, Reason: "this instance does not lead"})
		holder := address(&server.DutyStatus{
			Name: "usage", Holder: "10.1.0.8", Token: 17, HeldMilliseconds: 2500, MayAct: true,
			LastCall: &server.LastCall{Window: 353445120, Token: 17, Answer: "limited", Detail: "status 429", AgoMilliseconds: 300},
			Windows:  []server.WindowStatus{{Window: 353445119, Accepted: true}, {Window: 353445120, Callers: 75, Runs: 4120}},
		})
		out, err := run(follower, "127.0.0.1:1", holder)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(And(ContainSubstring("held by 10.1.0.8, token 17, acquired 2.5s ago"), ContainSubstring("limited (status 429), 300ms ago")))
		Expect(out).To(And(MatchRegexp(`353445119 +accepted`), MatchRegexp(`353445120 +not accepted +75 +4120`)))
		Expect(out).NotTo(ContainSubstring("may not act"))
		out, err = run(follower)
		Expect(err).NotTo(HaveOccurred())
		Expect(out).To(ContainSubstring("may not act: this instance does not lead"))
		_, err = run(address(nil))
		Expect(cli.ExitCodeOf(err)).To(Equal(cli.ExitNotFound))
		_, err = run()
		Expect(cli.ExitCodeOf(err)).To(Equal(cli.ExitInvalid))
	})

	It("exits with the code for an unreachable instance if nothing listens", func() {
		l, err := net.Listen("tcp4", "127.0.0.1:0")
		Expect(err).NotTo(HaveOccurred())
		Expect(l.Close()).To(Succeed())
		command := cli.Command()
		command.SetArgs([]string{"status", "--metrics", l.Addr().String()})
		Expect(cli.ExitCodeOf(command.Execute())).To(Equal(cli.ExitUnreachable))
	})
})
