// Package cli is the operators' command line.
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

// ExitCode is what the program ends with; scripts may rely on it.
type ExitCode int

// Exit codes.
const (
	ExitOK      ExitCode = 0
	ExitFailure ExitCode = 1
	// ExitInvalid: settings, rules or arguments have mistakes.
	ExitInvalid ExitCode = 2
	// ExitNotFound: what was named does not exist.
	ExitNotFound ExitCode = 3
	// ExitConflict: another operator's change was accepted first.
	ExitConflict ExitCode = 4
	// ExitNotInForce: accepted, but not in force everywhere yet.
	ExitNotInForce ExitCode = 5
	// ExitMoveRolledBack: the move was taken back.
	ExitMoveRolledBack ExitCode = 6
	// ExitUnreachable: no instance answered.
	ExitUnreachable ExitCode = 7
	// ExitViolation: a check of answers found a violation.
	ExitViolation ExitCode = 8
)

// ExitError ends the program with a code.
type ExitError struct {
	Code ExitCode
	Err  error
}

// Error returns the cause.
func (e *ExitError) Error() string { return e.Err.Error() }

// Unwrap returns the cause.
func (e *ExitError) Unwrap() error { return e.Err }

func exitWith(code ExitCode, err error) error { return &ExitError{Code: code, Err: err} }

// CodeOf returns the exit code for err.
func CodeOf(err error) ExitCode {
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

// options are the flags that every command has.
type options struct {
	json    bool
	admin   []string
	keys    string
	name    string
	timeout time.Duration
	out     io.Writer
}

const (
	defaultWait = 10 * time.Second
	// adminVariable names the environment variable with admin addresses.
	adminVariable = "RADISHTURN_ADMIN"
	keysVariable  = "RADISHTURN_KEYS"
	nameVariable  = "RADISHTURN_OPERATOR"
)

// Command returns the command line.
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
	flags.StringVar(&o.name, "operator", os.Getenv(nameVariable), "name of the operator's certificate ($"+nameVariable+")")
	flags.DurationVar(&o.timeout, "timeout", defaultWait, "longest time to wait")
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
	return CodeOf(err)
}
