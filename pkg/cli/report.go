package cli

import (
	"fmt"
	"os"
	"text/tabwriter"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/burn"
	"radishturn.example/radishturn/pkg/burn/render"
)

const burnPath = "/admin/v1/burn"

func reportCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "report", Short: "Create reports"}
	command.AddCommand(burnCommand(o))
	return command
}

func burnCommand(o *options) *cobra.Command {
	var html string
	command := &cobra.Command{
		Use:   "burn",
		Short: "Show the burn rate of the error budgets and its causes",
		Example: `  radishturn report burn
  radishturn report burn --html burn.html`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			r := new(burn.Report)
			if err := o.get(c.Context(), burnPath, r); err != nil {
				return err
			}
			if html != "" {
				return writeHTML(html, r)
			}
			if o.json {
				return o.print(r, func(*tabwriter.Writer) {})
			}
			return render.Table(o.out, r)
		},
	}
	command.Flags().StringVar(&html, "html", "", "write an HTML page to this file instead")
	return command
}

func writeHTML(file string, r *burn.Report) error {
	f, err := os.Create(file)
	if err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	if err := render.HTML(f, r); err != nil {
		_ = f.Close()
		return fmt.Errorf("write report %s: %w", file, err)
	}
	return f.Close()
}
