// Command radishturn-standin simulates the targets and the platform's list in
// tests and experiments.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/events"
	"radishturn.example/radishturn/pkg/standin"
)

const (
	exitFailure         = 1
	exitInvalidSettings = 2
)

func main() {
	var file string
	command := &cobra.Command{
		Use:           "radishturn-standin --config FILE",
		Short:         "Simulate targets and the platform's list on loopback",
		Args:          cobra.NoArgs,
		SilenceUsage:  true,
		SilenceErrors: true,
		Run:           func(c *cobra.Command, _ []string) { os.Exit(serve(c.Context(), file)) },
	}
	command.Flags().StringVar(&file, "config", "", "settings file, JSON with comments")
	if err := command.Execute(); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(exitInvalidSettings)
	}
}

func serve(parent context.Context, file string) int {
	s, err := standin.Read(file)
	if err == nil {
		err = events.Setup(os.Stderr, s.Log.Format, s.Log.Level)
	}
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return exitInvalidSettings
	}
	ctx, stop := signal.NotifyContext(parent, syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	if err := run(ctx, s); err != nil {
		events.Emit(events.ProcessFailed, err)
		return exitFailure
	}
	events.Emit(events.ProcessStopped, nil)
	return 0
}

func run(ctx context.Context, s *standin.Settings) error {
	server, err := standin.New(s)
	if err != nil {
		return err
	}
	return server.Run(ctx)
}
