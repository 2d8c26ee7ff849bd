package cli

import (
	"errors"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/settings"
)

// checkResult is the JSON output of "config check".
type checkResult struct {
	File     string                `json:"file"`
	Mistakes []settings.Diagnostic `json:"mistakes"`
}

func configCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "config", Short: "Check settings files"}
	command.AddCommand(&cobra.Command{
		Use:     "check FILE...",
		Short:   "Check settings files and list every mistake",
		Example: "  radishturn config check /etc/radishturn/settings.jsonc",
		Args:    cobra.MinimumNArgs(1),
		RunE: func(_ *cobra.Command, files []string) error {
			return checkSettings(o, files)
		},
	})
	return command
}

func checkSettings(o *options, files []string) error {
	var results []checkResult
	invalidFiles := 0
	for _, file := range files {
		_, err := settings.Load(file)
		var invalid *settings.InvalidError
		if err != nil && !errors.As(err, &invalid) {
			return exitWith(ExitInvalid, err)
		}
		result := checkResult{File: file, Mistakes: []settings.Diagnostic{}}
		if invalid != nil {
			result.Mistakes = invalid.Diagnostics
			invalidFiles++
		}
		results = append(results, result)
	}
	err := o.print(results, func(w *tabwriter.Writer) {
		for _, r := range results {
			for _, m := range r.Mistakes {
				printf(w, "%s:%s", r.File, m)
			}
			if len(r.Mistakes) == 0 {
				printf(w, "%s: ok", r.File)
			}
		}
	})
	if err == nil && invalidFiles > 0 {
		err = exitWith(ExitInvalid, errors.New("settings have mistakes"))
	}
	return err
}
