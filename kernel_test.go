package radishturn_test

import (
	"context"
	"errors"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/settings"
)

func TestKernel(t *testing.T) {
	RegisterFailHandler(Fail)
	RunSpecs(t, "kernel")
}

// steps records what the kernel asked of the test's modules, in order.
var steps []string

// probe is a module that records its lifecycle.
type probe struct {
	id      radishturn.ModuleID
	after   []radishturn.ModuleID
	failure error
}

func (p *probe) ModuleInfo() radishturn.ModuleInfo {
	copied := *p
	return radishturn.ModuleInfo{ID: p.id, After: p.after, New: func() radishturn.Module { return &copied }}
}

func (p *probe) note(step string) { steps = append(steps, step+" "+string(p.id)) }

func (p *probe) Provision(*radishturn.Context) error { p.note("provision"); return p.failure }
func (p *probe) Validate() error                     { p.note("validate"); return nil }
func (p *probe) Run(context.Context) error           { p.note("run"); return nil }
func (p *probe) Drain(context.Context) error         { p.note("drain"); return nil }
func (p *probe) Cleanup() error                      { p.note("clean up"); return nil }

// failing is told by the specs whether module "c" fails to provision.
var failing = &probe{id: "c", after: []radishturn.ModuleID{"a"}}

func init() {
	radishturn.RegisterModule(&probe{id: "b", after: []radishturn.ModuleID{"c"}})
	radishturn.RegisterModule(&probe{id: "a"})
	radishturn.RegisterModule(switched{})
}

// switched is module "c"; it takes its behaviour from failing when it is loaded.
type switched struct{}

func (switched) ModuleInfo() radishturn.ModuleInfo {
	info := failing.ModuleInfo()
	info.New = func() radishturn.Module {
		copied := *failing
		return &copied
	}
	return info
}

var _ = Describe("Kernel", func() {
	BeforeEach(func() {
		steps = nil
		failing.failure = nil
	})

	It("provisions modules after those that they need, and drains and cleans up the other way", func() {
		k, err := radishturn.Load(&settings.Settings{})
		Expect(err).NotTo(HaveOccurred())
		Expect(k.Actors()).To(HaveLen(3))
		Expect(k.Drain(context.Background())).To(Succeed())
		Expect(k.Cleanup()).To(Succeed())
		Expect(steps).To(Equal([]string{
			"provision a", "validate a", "provision c", "validate c", "provision b", "validate b",
			"drain b", "drain c", "drain a", "clean up b", "clean up c", "clean up a",
		}))
	})

	It("cleans up what was loaded when a module fails", func() {
		failing.failure = errors.New("no disk")
		_, err := radishturn.Load(&settings.Settings{})
		Expect(err).To(MatchError("provision c: no disk"))
		Expect(steps).To(Equal([]string{"provision a", "validate a", "provision c", "clean up c", "clean up a"}))
	})

	It("refuses a module that is registered twice", func() {
		Expect(func() { radishturn.RegisterModule(&probe{id: "a"}) }).To(Panic())
	})
})

var _ = Describe("Context", func() {
	It("gives services by type, once", func() {
		c := radishturn.NewContext(&settings.Settings{})
		Expect(radishturn.Provide[error](c, errors.New("service"))).To(Succeed())
		Expect(radishturn.Provide[error](c, errors.New("another"))).To(MatchError(ContainSubstring("provided twice")))
		var service error
		Expect(radishturn.Fetch(c, &service)).To(Succeed())
		Expect(service).To(MatchError("service"))
		_, err := radishturn.Require[context.Context](c)
		Expect(err).To(MatchError(ContainSubstring("not provided")))
	})
})
