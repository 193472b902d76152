package main

import (
	"errors"
	"fmt"
	"io"
	"io/fs"
	"os"
	"path/filepath"
	"time"

	"github.com/spf13/cobra"

	"mothrouter/internal/decision"
	"mothrouter/internal/state/checkpoint"
	"mothrouter/internal/state/recovery"
	"mothrouter/internal/state/snapshot"
)

// stateCommand returns the root command with `mothrouter state`, which inspects, verifies and deletes the saved state.
func stateCommand() *cobra.Command {
	root := &cobra.Command{
		Use: "mothrouter", SilenceUsage: true, SilenceErrors: true,
		CompletionOptions: cobra.CompletionOptions{DisableDefaultCmd: true},
	}
	state := &cobra.Command{Use: "state", Short: "Inspect the learned state that a broker keeps across restarts"}
	root.AddCommand(state)
	state.AddCommand(&cobra.Command{
		Use: "inspect FOLDER", Short: "Show the header of the file and the saved state of each server", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, size, err := readState(args[0])
			if err != nil {
				return err
			}
			printState(cmd.OutOrStdout(), s, size)
			return nil
		},
	}, &cobra.Command{
		Use: "verify FOLDER", Short: "Check that the file is intact; exits with status 1 if it is not", Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			s, size, err := readState(args[0])
			if err == nil {
				fmt.Fprintf(cmd.OutOrStdout(), "whole: %d bytes, %d servers\n", size, len(s.Servers))
			}
			return err
		},
	}, &cobra.Command{
		Use: "delete FOLDER", Short: "Delete the file and a quarantined one; the next start has no saved state",
		Args: cobra.ExactArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, name := range []string{checkpoint.FileName, checkpoint.QuarantineName} {
				err := os.Remove(filepath.Join(args[0], name))
				if err == nil {
					fmt.Fprintln(cmd.OutOrStdout(), "deleted", name)
				} else if !errors.Is(err, fs.ErrNotExist) {
					return err
				}
			}
			return nil
		},
	})
	return root
}

// printState prints a snapshot as `mothrouter state inspect` shows it.
func printState(out io.Writer, s *snapshot.Snapshot, size int) {
	now := float64(time.Now().UnixNano()) / 1e9
	fmt.Fprintf(out, "broker %s, settings %016x, %d bytes, written %.1f s ago\n", s.Instance, s.SettingsFingerprint, size,
		now-s.WrittenAt)
	if err := recovery.CheckAge(s, now); err != nil {
		fmt.Fprintln(out, "a start would be blank:", err)
	}
	fmt.Fprintf(out, "a part takes %.1f ms, a warm server answers %.2f parts a second to this broker\n", 1000*s.ServiceTime,
		s.PeakThroughput)
	fmt.Fprintf(out, "%-24s %-10s %-9s %-8s %s\n", "server", "started", "pace ms", "failed", "report")
	for _, server := range s.Servers {
		startedAgo, report := "long ago", "-"
		if server.StartedAt > 0 {
			startedAgo = fmt.Sprintf("%.0f s", now-server.StartedAt)
		}
		if server.LoadReportedAt > 0 {
			report = fmt.Sprintf("%.1f s old", now-server.LoadReportedAt)
			if server.LoadReport.Utilization != decision.NoLoadReport.Utilization {
				report += fmt.Sprintf(", busy %.0f %%", 100*server.LoadReport.Utilization)
			}
		}
		fmt.Fprintf(out, "%-24s %-10s %-9.1f %-8s %s\n", server.ID, startedAgo, 1000*server.ServiceTime,
			fmt.Sprintf("%.0f %%", 100*server.FailureRatio), report)
	}
}

// readState reads the snapshot in a folder and returns it with the size of its file in bytes.
func readState(folder string) (*snapshot.Snapshot, int, error) {
	b, err := checkpoint.Disk{}.Read(filepath.Join(folder, checkpoint.FileName))
	if err != nil {
		return nil, 0, err
	}
	s, err := snapshot.Decode(b)
	return s, len(b), err
}
