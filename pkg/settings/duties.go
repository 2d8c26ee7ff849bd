package settings

import (
	"fmt"
	"slices"

	"radishturn.example/radishturn/pkg/duty"
)

// Duties configures the calls to the platform that one instance makes at a time.
type Duties struct {
	// Names lists the duties; nothing of them runs if it is empty.
	Names []duty.Name `json:"names"`
	// HolderName is the name under which the platform knows this instance.
	HolderName string `json:"holderName"`
	// Lease is how long after a duty was last acquired another instance has to wait
	// before it acquires it.
	Lease Duration `json:"lease"`
	// CallsPerSecond is the platform's limit for the calls of all instances together.
	CallsPerSecond float64 `json:"callsPerSecond"`
	// UsageWindow is the length of a usage window, UsageLate how long after its end its
	// report is due, and UsageTolerance the share by which a reported count may differ
	// from the true one.
	UsageWindow    Duration `json:"usageWindow"`
	UsageLate      Duration `json:"usageLate"`
	UsageTolerance float64  `json:"usageTolerance"`
}

// Has reports whether a duty is listed.
func (d *Duties) Has(name duty.Name) bool { return slices.Contains(d.Names, name) }

// ReportsUsage reports whether the instances count requests, and the leader reports them.
func (d *Duties) ReportsUsage() bool { return d.Has(duty.Usage) && d.UsageWindow > 0 }

// checkDuties checks the settings of the duties, which have no defaults in a settings file.
func (p *parser) checkDuties(d *Duties) {
	for i, name := range d.Names {
		if name != duty.Usage {
			p.report(fmt.Sprintf("duties.names[%d]", i), fmt.Sprintf("%q is no duty", name), fmt.Sprintf("write %q", duty.Usage))
		}
	}
	if len(d.Names) == 0 {
		return
	}
	p.checkRequired("duties.holderName", d.HolderName == "")
	p.checkPositive("duties.lease", d.Lease > 0, "write a time such as \"3s\"")
	p.checkPositive("duties.callsPerSecond", d.CallsPerSecond > 0, "write the platform's limit, such as 50")
	p.checkPositive("duties.usageWindow", d.UsageWindow > 0, "write a time such as \"5s\"")
	p.checkPositive("duties.usageLate", d.UsageLate > 0, "write a time such as \"10s\"")
	p.checkFraction("duties.usageTolerance", d.UsageTolerance)
}
