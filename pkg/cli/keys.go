package cli

import (
	"time"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/keys"
)

const (
	defaultAuthorityDays   = 3650
	defaultCertificateDays = 365
	day                    = 24 * time.Hour
)

func keysCommand() *cobra.Command {
	command := &cobra.Command{Use: "keys", Short: "Create the keys for mutual TLS"}
	command.AddCommand(keysInitCommand(), keysIssueCommand())
	return command
}

func keysInitCommand() *cobra.Command {
	var days int
	command := &cobra.Command{
		Use:     "init FOLDER",
		Short:   "Create a new certificate authority in FOLDER",
		Example: "  radishturn keys init keys",
		Args:    cobra.ExactArgs(1),
		RunE: func(_ *cobra.Command, args []string) error {
			return keys.InitAuthority(args[0], time.Duration(days)*day)
		},
	}
	command.Flags().IntVar(&days, "days", defaultAuthorityDays, "days until the authority expires")
	return command
}

func keysIssueCommand() *cobra.Command {
	var days int
	var operator bool
	command := &cobra.Command{
		Use:   "issue FOLDER NAME...",
		Short: "Issue certificates signed by the authority in FOLDER",
		Example: `  radishturn keys issue keys e1 e2 e3
  radishturn keys issue --for-operator keys ana`,
		Args: cobra.MinimumNArgs(2),
		RunE: func(_ *cobra.Command, args []string) error {
			role := keys.RoleInstance
			if operator {
				role = keys.RoleOperator
			}
			return issue(args[0], args[1:], role, time.Duration(days)*day)
		},
	}
	command.Flags().IntVar(&days, "days", defaultCertificateDays, "days until the certificates expire")
	command.Flags().BoolVar(&operator, "for-operator", false, "issue for operators instead of instances")
	return command
}

func issue(folder string, names []string, role keys.Role, validFor time.Duration) error {
	authority, err := keys.LoadAuthority(folder)
	if err != nil {
		return err
	}
	for _, name := range names {
		if err := authority.Issue(folder, name, role, validFor); err != nil {
			return err
		}
	}
	return nil
}
