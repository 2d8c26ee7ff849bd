// Package cli implements the operators' command line.
package cli

import (
	"errors"
	"fmt"
	"io"
	"os"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn"
	"radishturn.example/radishturn/pkg/failure"
)

// ExitCode is the exit code of the program; scripts may rely on it.
type ExitCode int

// Exit codes.
const (
	ExitOK      ExitCode = 0
	ExitFailure ExitCode = 1
	// ExitInvalid means that settings, rules or arguments are invalid.
	ExitInvalid ExitCode = 2
	// ExitNotFound means that the named object does not exist.
	ExitNotFound ExitCode = 3
	// ExitConflict means that another operator's change was accepted first.
	ExitConflict ExitCode = 4
	// ExitNotInForce means that the change was accepted, but is not in force on
	// every instance yet.
	ExitNotInForce ExitCode = 5
	// ExitMoveRolledBack means that the move was rolled back.
	ExitMoveRolledBack ExitCode = 6
	// ExitUnreachable means that no instance answered.
	ExitUnreachable ExitCode = 7
	// ExitViolation means that a check of answers found a violation.
	ExitViolation ExitCode = 8
)

// ExitError is an error that ends the program with a given exit code.
type ExitError struct {
	Code ExitCode
	Err  error
}

// Error returns the message of the cause.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

func exitWith(code ExitCode, err error) error { return &ExitError{Code: code, Err: err} }

// ExitCodeOf returns the exit code for err.
func ExitCodeOf(err error) ExitCode {
	if err == nil {
		return ExitOK
	}
	var e *ExitError
	if errors.As(err, &e) {
		return e.Code
	}
	switch failure.CodeOf(err) {
	case failure.BadRequest:
		return ExitInvalid
	case failure.NotFound:
		return ExitNotFound
	case failure.Conflict:
		return ExitConflict
	case failure.PeerUnreachable:
		return ExitUnreachable
	}
	return ExitFailure
}

// options holds the flags that all commands share, and their output.
type options struct {
	json     bool
	admin    []string
	keys     string
	operator string
	timeout  time.Duration
	out      io.Writer
}

const (
	defaultTimeout = 10 * time.Second
	// adminVariable names the environment variable with admin addresses.
	adminVariable    = "RADISHTURN_ADMIN"
	keysVariable     = "RADISHTURN_KEYS"
	operatorVariable = "RADISHTURN_OPERATOR"
)

// Command returns the root command.
func Command() *cobra.Command {
	o := &options{}
	root := &cobra.Command{
		Use:           "radishturn",
		Short:         "Operate a radishturn query tier",
		Version:       radishturn.Version,
		SilenceUsage:  true,
		SilenceErrors: true,
		Long: `Operate a radishturn query tier.

Exit codes: 0 done, 1 failed, 2 settings, rules or arguments have mistakes,
3 not found, 4 another change was accepted first, 5 accepted but not in force
everywhere, 6 move taken back, 7 no instance answered, 8 a check of answers
found a violation.`,
	}
	root.PersistentPreRun = func(c *cobra.Command, _ []string) { o.out = c.OutOrStdout() }
	flags := root.PersistentFlags()
	flags.BoolVar(&o.json, "json", false, "print JSON")
	flags.StringSliceVar(&o.admin, "admin", envList(adminVariable), "admin addresses, tried in order ($"+adminVariable+")")
	flags.StringVar(&o.keys, "keys", os.Getenv(keysVariable), "folder with the authority and the operator's keys ($"+keysVariable+")")
	flags.StringVar(&o.operator, "operator", os.Getenv(operatorVariable), "name of the operator's certificate ($"+operatorVariable+")")
	flags.DurationVar(&o.timeout, "timeout", defaultTimeout, "longest time to wait")
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return exitWith(ExitInvalid, err) })
	root.AddCommand(
		configCommand(o),
		keysCommand(),
		rulesCommand(o),
		movesCommand(o),
		statusCommand(o),
		membersCommand(o),
		quarantineCommand(o),
		reportCommand(o),
		loadCommand(o),
		targetsCommand(o),
		explainCommand(o),
		callersCommand(o),
		dutiesCommand(o),
	)
	return root
}

func envList(variable string) []string {
	value := os.Getenv(variable)
	if value == "" {
		return nil
	}
	return strings.Split(value, ",")
}

// Main runs the command line and returns its exit code.
func Main() ExitCode {
	err := Command().Execute()
	if err != nil {
		fmt.Fprintln(os.Stderr, "radishturn:", err)
	}
	return ExitCodeOf(err)
}
