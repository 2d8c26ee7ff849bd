package cli

import (
	"context"
	"fmt"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/move"
)

const (
	movesPath         = "/admin/v1/moves"
	movesPollInterval = time.Second
)

func movesCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "moves", Short: "Show moves of traffic between versions"}
	command.AddCommand(movesListCommand(o), movesStatusCommand(o), movesWaitCommand(o))
	return command
}

func movesListCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:   "list",
		Short: "List the moves of the latest rules",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			var moves []move.State
			if err := o.get(c.Context(), movesPath, &moves); err != nil {
				return err
			}
			return o.print(moves, func(w *tabwriter.Writer) {
				printf(w, "COLLECTION\tFROM\tTO\tBY\tPHASE\tSHARE\tWHY")
				for _, m := range moves {
					printf(w, "%s\t%s\t%s\t%s\t%s\t%.0f%%\t%s", m.Rule.Collection, m.Rule.From, m.Rule.To,
						m.Rule.By.Format(time.RFC3339), m.Phase, 100*m.Share, m.Evidence)
				}
			})
		},
	}
}

func movesStatusCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "status COLLECTION",
		Short:   "Show whether a move is done, under way or taken back, and why",
		Example: "  radishturn moves status shopfront",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			m, err := findMove(c.Context(), o, model.CollectionID(args[0]))
			if err != nil {
				return err
			}
			return o.printMove(m)
		},
	}
}

func movesWaitCommand(o *options) *cobra.Command {
	return &cobra.Command{
		Use:     "wait COLLECTION",
		Short:   "Wait until a move is done (exit code 0) or taken back (6)",
		Example: "  radishturn moves wait shopfront --timeout 2h",
		Args:    cobra.ExactArgs(1),
		RunE: func(c *cobra.Command, args []string) error {
			return waitMove(c.Context(), o, model.CollectionID(args[0]))
		},
	}
}

func waitMove(ctx context.Context, o *options, collection model.CollectionID) error {
	ctx, cancel := context.WithTimeout(ctx, o.timeout)
	defer cancel()
	for {
		m, err := findMove(ctx, o, collection)
		if err != nil {
			return err
		}
		if m.Phase != move.PhaseUnderWay {
			return o.printMove(m)
		}
		select {
		case <-ctx.Done():
			return fmt.Errorf("move of %s is still under way at %.0f%%: %w", collection, 100*m.Share, ctx.Err())
		case <-time.After(movesPollInterval):
		}
	}
}

func findMove(ctx context.Context, o *options, collection model.CollectionID) (move.State, error) {
	var moves []move.State
	if err := o.get(ctx, movesPath, &moves); err != nil {
		return move.State{}, err
	}
	for _, m := range moves {
		if m.Rule.Collection == collection {
			return m, nil
		}
	}
	return move.State{}, exitWith(ExitNotFound, fmt.Errorf("no move of %s in the rules", collection))
}

func (o *options) printMove(m move.State) error {
	err := o.print(m, func(w *tabwriter.Writer) {
		printf(w, "%s from %s to %s: %s at %.0f%% (%s)", m.Rule.Collection, m.Rule.From, m.Rule.To, m.Phase, 100*m.Share, m.Evidence)
	})
	if err == nil && m.Phase == move.PhaseRolledBack {
		err = exitWith(ExitMoveRolledBack, errMoveRolledBack)
	}
	return err
}
