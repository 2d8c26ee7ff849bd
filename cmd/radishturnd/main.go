// Command radishturnd is the daemon of the query tier.
package main

import (
	"context"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/signal"
	"reflect"
	"syscall"
	"time"

	"github.com/oklog/run"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/membudget"
	"radishturn.example/radishturn/pkg/settings"

	_ "radishturn.example/radishturn/pkg/modules"
	"radishturn.example/radishturn/platform/boot"
	_ "radishturn.example/radishturn/platform/modules"
)

const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

func main() {
	file := flag.String("config", "", "settings file, JSON with comments; without it the platform's file is read")
	flag.Parse()
	os.Exit(serve(*file))
}

func serve(file string) int {
	s, err := load(file)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	membudget.LimitRuntime(s.Instance.MemoryMB)
	sink := events.NewSink(os.Stdout)
	defer sink.Flush()
	if err := events.Setup(sink, s.Log.Format, s.Log.Level); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	if err := runUntilStopped(s, file); err != nil {
		events.Emit(events.ProcessFailed, err)
		return exitFailure
	}
	return 0
}

// load reads the settings file; without one, it reads the file that the platform
// provides.
func load(file string) (*settings.Settings, error) {
	if file == "" {
		return boot.Load()
	}
	return settings.Load(file)
}

// runUntilStopped runs every module until one fails or a signal requests a
// graceful shutdown. On a signal the modules drain while all of them still run. The
// kernel holds the loaded modules; each module with a Run method is an actor.
func runUntilStopped(s *settings.Settings, file string) error {
	kernel, err := radishturn.Load(s)
	if err != nil {
		return err
	}
	var g run.Group
	for _, actor := range kernel.Actors() {
		ctx, cancel := context.WithCancel(context.Background())
		g.Add(
			func() error {
				if err := actor.Run(ctx); err != nil {
					return fmt.Errorf("%s: %w", actor.ID, err)
				}
				return nil
			},
			func(error) { cancel() },
		)
	}
	g.Add(shutdownOnSignal(kernel, s.Stop.Grace.Std()))
	g.Add(watchSettings(kernel, file, s))
	events.Emit(events.ProcessStarted, s.Instance.ID, s.Instance.AvailabilityZone, radishturn.Version)

	err = g.Run()
	if errors.Is(err, errShutdownRequested) {
		err = nil
	}
	events.Emit(events.ProcessStopped, err)
	return errors.Join(err, kernel.Cleanup())
}

// settingsPollInterval is how often the settings are read without a signal.
const settingsPollInterval = 2 * time.Second

// watchSettings returns the actor that reloads the settings on SIGHUP, and
// periodically, since they may change without a signal.
func watchSettings(kernel *radishturn.Kernel, file string, current *settings.Settings) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsPollInterval)
	execute = func() error {
		defer ticker.Stop()
		for {
			requested := false
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
				requested = true
			case <-ticker.C:
			}
			current = reload(kernel, file, current, requested)
		}
	}
	return execute, func(error) { cancel() }
}

// reload reads the settings and returns those in force afterwards. If the new
// settings are invalid, the current ones stay in force.
func reload(kernel *radishturn.Kernel, file string, current *settings.Settings, requested bool) *settings.Settings {
	next, err := load(file)
	if err != nil {
		events.Emit(events.SettingsRefused, err)
		return current
	}
	if reflect.DeepEqual(next, current) {
		if requested {
			events.Emit(events.SettingsReloaded, false)
		}
		return current
	}
	if err := kernel.Reload(next); err != nil {
		events.Emit(events.SettingsRefused, err)
		return current
	}
	events.Emit(events.SettingsReloaded, true)
	return next
}

var errShutdownRequested = errors.New("shutdown requested by a signal")

// shutdownOnSignal returns the actor that waits for a signal and then drains the
// modules, within the grace. A further signal does not end the process sooner, which
// would cut off requests.
func shutdownOnSignal(kernel *radishturn.Kernel, grace time.Duration) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	execute = func() error {
		var received os.Signal
		select {
		case received = <-signals:
		case <-ctx.Done():
			return ctx.Err()
		}
		ctx, cancel := context.WithTimeout(ctx, grace)
		defer cancel()
		events.Emit(events.ProcessStopping, received.String())
		if err := kernel.Drain(ctx); err != nil {
			events.Emit(events.DrainIncomplete, err)
		}
		return errShutdownRequested
	}
	return execute, func(error) { cancel() }
}
