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

// calls records the kernel's calls to the test modules, in order.
var calls []string

// recorder is a module that records the kernel's calls to it.
type recorder struct {
	id           radishturn.ModuleID
	after        []radishturn.ModuleID
	provisionErr error
}

func (r *recorder) ModuleInfo() radishturn.ModuleInfo {
	copied := *r
	return radishturn.ModuleInfo{ID: r.id, After: r.after, New: func() radishturn.Module { return &copied }}
}

func (r *recorder) record(call string) { calls = append(calls, call+" "+string(r.id)) }

func (r *recorder) Provision(*radishturn.Context) error { r.record("provision"); return r.provisionErr }
func (r *recorder) Validate() error                     { r.record("validate"); return nil }
func (r *recorder) Run(context.Context) error           { r.record("run"); return nil }
func (r *recorder) Drain(context.Context) error         { r.record("drain"); return nil }
func (r *recorder) Cleanup() error                      { r.record("clean up"); return nil }

// moduleC is the template of module "c"; specs set its provisionErr to make
// provisioning fail.
var moduleC = &recorder{id: "c", after: []radishturn.ModuleID{"a"}}

func init() {
	radishturn.RegisterModule(&recorder{id: "b", after: []radishturn.ModuleID{"c"}})
	radishturn.RegisterModule(&recorder{id: "a"})
	radishturn.RegisterModule(moduleCRegistration{})
}

// moduleCRegistration registers module "c". Each load creates a copy of moduleC,
// so that a spec can change the template before it calls Load.
type moduleCRegistration struct{}

func (moduleCRegistration) ModuleInfo() radishturn.ModuleInfo {
	info := moduleC.ModuleInfo()
	info.New = func() radishturn.Module {
		copied := *moduleC
		return &copied
	}
	return info
}

var _ = Describe("Kernel", func() {
	BeforeEach(func() {
		calls = nil
		moduleC.provisionErr = nil
	})

	It("provisions modules after their dependencies, and drains and cleans up in reverse order", func() {
		k, err := radishturn.Load(&settings.Settings{})
		Expect(err).NotTo(HaveOccurred())
		Expect(k.Actors()).To(HaveLen(3))
		Expect(k.Drain(context.Background())).To(Succeed())
		Expect(k.Cleanup()).To(Succeed())
		Expect(calls).To(Equal([]string{
			"provision a", "validate a", "provision c", "validate c", "provision b", "validate b",
			"drain b", "drain c", "drain a", "clean up b", "clean up c", "clean up a",
		}))
	})

	It("cleans up the loaded modules when one fails", func() {
		moduleC.provisionErr = errors.New("no disk")
		_, err := radishturn.Load(&settings.Settings{})
		Expect(err).To(MatchError("provision c: no disk"))
		Expect(calls).To(Equal([]string{"provision a", "validate a", "provision c", "clean up c", "clean up a"}))
	})

	It("panics when a module is registered twice", func() {
		Expect(func() { radishturn.RegisterModule(&recorder{id: "a"}) }).To(Panic())
	})
})

var _ = Describe("Context", func() {
	It("returns services by type and rejects a second provider", func() {
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
