package cli

import (
	"context"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/spf13/cobra"

	"radishturn.example/radishturn/pkg/adminapi"
	"radishturn.example/radishturn/pkg/control"
	"radishturn.example/radishturn/pkg/model"
	"radishturn.example/radishturn/pkg/replica"
)

const (
	statusPath     = "/admin/v1/status"
	instancesPath  = "/admin/v1/instances"
	membersPath    = "/admin/v1/members"
	quarantinePath = "/admin/v1/quarantine"
)

// fleetStatus is the JSON output of "status".
type fleetStatus struct {
	Asked   adminapi.Status       `json:"asked"`
	Holders []control.LeaseHolder `json:"holders"`
	Control *replica.Status       `json:"control"`
	// ControlError tells why the control group could not be queried.
	ControlError string `json:"controlError,omitempty"`
}

func statusCommand(o *options) *cobra.Command {
	var metricsAddress string
	command := &cobra.Command{
		Use:   "status",
		Short: "Show an instance, the holders of leases and the control group",
		Example: `  radishturn status
  # Current state of a process in the role entry or control:
  radishturn status --metrics 10.0.0.4:9464`,
		Args: cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if metricsAddress != "" {
				return showProcessStatus(c.Context(), o, metricsAddress)
			}
			s, err := readStatus(c.Context(), o)
			if err != nil {
				return err
			}
			return o.print(s, func(w *tabwriter.Writer) { renderStatus(w, s) })
		},
	}
	command.Flags().StringVar(&metricsAddress, "metrics", "", "metrics address of a process in the role entry or control")
	return command
}

// readStatus queries one instance. If that instance has lost contact with the
// control group, it sets ControlError in place of the missing parts.
func readStatus(ctx context.Context, o *options) (*fleetStatus, error) {
	s := new(fleetStatus)
	if err := o.get(ctx, statusPath, &s.Asked); err != nil {
		return nil, err
	}
	s.Control = new(replica.Status)
	if err := o.get(ctx, membersPath, s.Control); err != nil {
		s.Control, s.ControlError = nil, err.Error()
		return s, nil
	}
	if err := o.get(ctx, instancesPath, &s.Holders); err != nil {
		s.ControlError = err.Error()
	}
	return s, nil
}

func renderStatus(w *tabwriter.Writer, s *fleetStatus) {
	a := s.Asked
	printf(w, "instance %s in %s, version %s", a.Instance, a.AvailabilityZone, a.Version)
	printf(w, "lease %s, %d ms left, revision %d", a.Lease, a.LeaseLeftMs, a.Revision)
	printf(w, "availability zones out: %s", joinNames(a.ZonesOut))
	if s.ControlError != "" {
		printf(w, "control: %s", s.ControlError)
	}
	if s.Control != nil {
		printf(w, "leader %s, term %d, commit %d, %d voters, %d learners", s.Control.Leader.Instance,
			s.Control.Term, s.Control.Commit, len(s.Control.Voters), len(s.Control.Learners))
		renderLossesTolerated(w, s.Control)
	}
	printf(w, "INSTANCE\tZONE\tADDRESS\tLEASE LEFT\tREVISION")
	for _, h := range s.Holders {
		printf(w, "%s\t%s\t%s\t%s\t%d", h.Instance.ID, h.Instance.AvailabilityZone, h.Instance.MeshAddress,
			h.Remaining.Round(time.Millisecond), h.Acknowledged)
	}
}

func renderLossesTolerated(w *tabwriter.Writer, s *replica.Status) {
	if s.LossesTolerated != nil {
		printf(w, "%d more voters may be lost before nothing can be changed", *s.LossesTolerated)
	}
}

func membersCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "members", Short: "Manage the members of the control group"}
	command.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List voters and learners", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return listMembers(c.Context(), o) },
		},
		&cobra.Command{
			Use: "add INSTANCE", Short: "Add an instance's disk as a learner", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				body := adminapi.AddMemberRequest{Instance: model.InstanceID(args[0])}
				return o.do(c.Context(), http.MethodPost, membersPath, body, nil)
			},
		},
		&cobra.Command{
			Use:   "replace OLD-INSTANCE OLD-DISK NEXT-INSTANCE",
			Short: "Replace a member (instance and disk) with the disk of another instance, once it has caught up",
			Example: `  # e2 lost its disk and runs again with an empty data folder:
  radishturn members list
  radishturn members replace e2 0193e1c8-… e2`,
			Args: cobra.ExactArgs(3),
			RunE: func(c *cobra.Command, args []string) error {
				body := adminapi.ReplaceMemberRequest{Old: memberFromArgs(args), Next: model.InstanceID(args[2])}
				return o.do(c.Context(), http.MethodPost, membersPath+"/replace", body, nil)
			},
		},
		&cobra.Command{
			Use: "remove INSTANCE DISK", Short: "Remove a voter or learner", Args: cobra.ExactArgs(2),
			RunE: func(c *cobra.Command, args []string) error {
				body := adminapi.RemoveMemberRequest{Member: memberFromArgs(args)}
				return o.do(c.Context(), http.MethodPost, membersPath+"/remove", body, nil)
			},
		},
	)
	return command
}

func memberFromArgs(args []string) replica.Member {
	return replica.Member{Instance: model.InstanceID(args[0]), Disk: model.DiskID(args[1])}
}

func listMembers(ctx context.Context, o *options) error {
	s := new(replica.Status)
	if err := o.get(ctx, membersPath, s); err != nil {
		return err
	}
	return o.print(s, func(w *tabwriter.Writer) {
		printf(w, "INSTANCE\tDISK\tROLE")
		for _, m := range s.Voters {
			role := "voter"
			if m == s.Leader {
				role = "leader"
			}
			printf(w, "%s\t%s\t%s", m.Instance, m.Disk, role)
		}
		for _, m := range s.Learners {
			printf(w, "%s\t%s\tlearner", m.Instance, m.Disk)
		}
	})
}

func quarantineCommand(o *options) *cobra.Command {
	command := &cobra.Command{Use: "quarantine", Short: "List and lift the quarantine of requests"}
	command.AddCommand(
		&cobra.Command{
			Use: "list", Short: "List quarantined requests", Args: cobra.NoArgs,
			RunE: func(c *cobra.Command, _ []string) error { return listQuarantine(c.Context(), o) },
		},
		&cobra.Command{
			Use: "lift FINGERPRINT", Short: "Let a quarantined request run again", Args: cobra.ExactArgs(1),
			RunE: func(c *cobra.Command, args []string) error {
				return o.do(c.Context(), http.MethodDelete, quarantinePath+"/"+args[0], nil, nil)
			},
		},
	)
	return command
}

func listQuarantine(ctx context.Context, o *options) error {
	var list []control.Quarantine
	if err := o.get(ctx, quarantinePath, &list); err != nil {
		return err
	}
	return o.print(list, func(w *tabwriter.Writer) {
		printf(w, "FINGERPRINT\tAT\tDEATHS")
		for _, q := range list {
			printf(w, "%s\t%s\t%s", fmt.Sprintf("%016x", uint64(q.Fingerprint)), q.At.Format(time.RFC3339), joinNames(q.Deaths))
		}
	})
}
