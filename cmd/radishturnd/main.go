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
	"radishturn.example/radishturn/pkg/settings"

	_ "radishturn.example/radishturn/pkg/modules"
	"radishturn.example/radishturn/platform/boot"
	_ "radishturn.example/radishturn/platform/modules"
)

const (
	exitFailure  = 1
	exitSettings = 2
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
		return exitSettings
	}
	sink := events.NewSink(os.Stdout)
	defer sink.Flush()
	if err := events.Setup(sink, s.Log.Format, s.Log.Level); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitSettings
	}
	if err := runUntilStopped(s, file); err != nil {
		events.Emit(events.ProcessFailed, err)
		return exitFailure
	}
	return 0
}

// load reads the settings file, or the one that the users' platform provides.
func load(file string) (*settings.Settings, error) {
	if file == "" {
		return boot.Load()
	}
	return settings.Load(file)
}

// runUntilStopped runs every module until one fails or a signal asks for a
// planned stop. On a signal the modules drain while all of them still run.
func runUntilStopped(s *settings.Settings, file string) error {
	k, err := radishturn.Load(s)
	if err != nil {
		return err
	}
	var g run.Group
	for _, actor := range k.Actors() {
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
	g.Add(plannedStop(k))
	g.Add(followSettings(k, file, s))
	events.Emit(events.ProcessStarted, s.Instance.ID, s.Instance.AvailabilityZone, radishturn.Version)

	err = g.Run()
	if errors.Is(err, errPlannedStop) {
		err = nil
	}
	events.Emit(events.ProcessStopped, err)
	return errors.Join(err, k.Cleanup())
}

// settingsInterval is how often the settings are looked at without a signal.
const settingsInterval = 2 * time.Second

// followSettings is the actor that reads the settings again on SIGHUP, and from
// time to time, since they may change without a signal.
func followSettings(k *radishturn.Kernel, file string, current *settings.Settings) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	ticker := time.NewTicker(settingsInterval)
	execute = func() error {
		defer ticker.Stop()
		for {
			asked := false
			select {
			case <-ctx.Done():
				return nil
			case <-hangups:
				asked = true
			case <-ticker.C:
			}
			current = reload(k, file, current, asked)
		}
	}
	return execute, func(error) { cancel() }
}

// reload reads the settings and returns those in force afterwards. Settings
// with mistakes leave the old ones in force.
func reload(k *radishturn.Kernel, file string, current *settings.Settings, asked bool) *settings.Settings {
	next, err := load(file)
	if err != nil {
		events.Emit(events.SettingsRefused, err)
		return current
	}
	if reflect.DeepEqual(next, current) {
		if asked {
			events.Emit(events.SettingsReloaded, false)
		}
		return current
	}
	if err := k.Reload(next); err != nil {
		events.Emit(events.SettingsRefused, err)
		return current
	}
	events.Emit(events.SettingsReloaded, true)
	return next
}

var errPlannedStop = errors.New("planned stop")

// plannedStop is the actor that waits for a signal and then drains the modules.
func plannedStop(k *radishturn.Kernel) (execute func() error, interrupt func(error)) {
	ctx, cancel := context.WithCancel(context.Background())
	wait, stop := run.SignalHandler(ctx, syscall.SIGINT, syscall.SIGTERM)
	execute = func() error {
		var stopped *run.SignalError
		if err := wait(); !errors.As(err, &stopped) {
			return err
		}
		events.Emit(events.ProcessStopping, stopped.Signal.String())
		if err := k.Drain(ctx); err != nil {
			events.Emit(events.DrainIncomplete, err)
		}
		return errPlannedStop
	}
	return execute, func(err error) {
		cancel()
		stop(err)
	}
}
