package main

import (
	"context"
	"errors"
	"os"
	"runtime"
	"slices"
	"syscall"
	"testing"
	"time"

	"golang.org/x/sys/unix"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/entryapi"
	"radishturn.example/radishturn/pkg/settings"
	"radishturn.example/radishturn/platform/ingress"
)

// roleTest is the role of the module below.
const roleTest settings.Role = "test-stop"

// signalled is a module that gets a second signal while it drains.
type signalled struct{ drained chan time.Duration }

// drained receives the time that the drain was given.
var drained = make(chan time.Duration, 1)

func init() { radishturn.RegisterModule(&signalled{}) }

// ModuleInfo implements radishturn.Module.
func (*signalled) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID: "test.signalled", Roles: []settings.Role{roleTest},
		New: func() radishturn.Module { return &signalled{drained: drained} },
	}
}

// Drain implements radishturn.Drainer.
func (m *signalled) Drain(ctx context.Context) error {
	signalSelf(syscall.SIGTERM)
	deadline, _ := ctx.Deadline()
	m.drained <- time.Until(deadline)
	return nil
}

// signalSelf sends a signal to the own thread, which has taken it when the call returns.
func signalSelf(s syscall.Signal) {
	runtime.LockOSThread()
	defer runtime.UnlockOSThread()
	_ = unix.Tgkill(os.Getpid(), unix.Gettid(), s)
}

// A second SIGTERM ended the process at once and cut off its requests.
func TestSecondSignalDoesNotEndTheProcessBeforeItsModulesHaveDrained(t *testing.T) {
	kernel, err := radishturn.Load(&settings.Settings{Instance: settings.Instance{Role: roleTest}})
	if err != nil {
		t.Fatal(err)
	}
	execute, interrupt := shutdownOnSignal(kernel, time.Minute)
	ended := make(chan error, 1)
	go func() { ended <- execute() }()
	signalSelf(syscall.SIGTERM)
	if err := <-ended; !errors.Is(err, errShutdownRequested) {
		t.Fatalf("ended with %v", err)
	}
	if left := <-drained; left <= 0 || left > time.Minute {
		t.Errorf("the modules had %s to drain, not the grace", left)
	}
	interrupt(nil)
}

// Other modules hand back what requests in progress need, such as the lease.
func TestModuleThatServesCallersDrainsFirst(t *testing.T) {
	for role, want := range map[settings.Role]radishturn.ModuleID{
		settings.RoleStandalone: entryapi.ModuleName, settings.RoleEntry: ingress.ModuleName,
	} {
		infos, err := radishturn.Modules(role)
		if err != nil {
			t.Fatal(err)
		}
		for _, info := range slices.Backward(infos) {
			if _, ok := info.New().(radishturn.Drainer); ok {
				if info.ID != want {
					t.Errorf("role %q: %s drains before %s", role, info.ID, want)
				}
				break
			}
		}
	}
}
