package main

import (
	"context"
	"errors"
	"os"
	"runtime"
	"syscall"
	"testing"

	"golang.org/x/sys/unix"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/settings"
)

// roleTest is the role of the module below.
const roleTest settings.Role = "test-stop"

// signalled is a module that gets a second signal while it drains.
type signalled struct{}

func init() { radishturn.RegisterModule(&signalled{}) }

// ModuleInfo implements radishturn.Module.
func (*signalled) ModuleInfo() radishturn.ModuleInfo {
	return radishturn.ModuleInfo{
		ID: "test.signalled", Roles: []settings.Role{roleTest},
		New: func() radishturn.Module { return &signalled{} },
	}
}

// Drain implements radishturn.Drainer.
func (*signalled) Drain(context.Context) error {
	signalSelf(syscall.SIGTERM)
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
	execute, interrupt := shutdownOnSignal(kernel)
	ended := make(chan error, 1)
	go func() { ended <- execute() }()
	signalSelf(syscall.SIGTERM)
	if err := <-ended; !errors.Is(err, errShutdownRequested) {
		t.Fatalf("ended with %v", err)
	}
	interrupt(nil)
}
