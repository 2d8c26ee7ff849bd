package leasetimes_test

import (
	"testing"
	"time"

	. "github.com/onsi/gomega"

	"radishturn.example/radishturn/pkg/lease/leasetimes"
	"radishturn.example/radishturn/pkg/settings"
)

// The design size is 1,600 instances that renew with one leader.
func TestRenewIntervalBoundsTheLeadersRenewals(t *testing.T) {
	g := NewWithT(t)
	l := settings.Lease{Renew: settings.Duration(400 * time.Millisecond), Duration: settings.Duration(3 * time.Second)}
	for _, instances := range []int{0, 1, 78, 300} {
		g.Expect(leasetimes.RenewInterval(l, instances)).To(Equal(l.Renew.Std()))
	}
	g.Expect(600 / leasetimes.RenewInterval(l, 600).Seconds()).To(BeNumerically("~", 800, 1))
	g.Expect(leasetimes.RenewInterval(l, 1600)).To(Equal(time.Second), "three renewals fit into a lease")
}
