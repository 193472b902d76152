package main

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/spf13/cobra"

	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/configstatus"
	"mothrouter/internal/controlplane/operatorclient"
)

// exitUnknown is the exit status of `mothrouter config publish` when it cannot determine whether the document is
// committed. The others are 0 (committed) and 1 (rejected, or certainly not committed).
const exitUnknown = 3

// configCommand returns `mothrouter config`, which publishes and shows the configuration of all brokers.
func configCommand() *cobra.Command {
	cmd := &cobra.Command{Use: "config", Short: "Publish the configuration of all brokers and show where it is in force"}
	cmd.AddCommand(publishCommand(), statusCommand(), showCommand())
	return cmd
}

func publishCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "publish FILE", Short: "Publish a document as the newest revision", Args: cobra.ExactArgs(1),
		Long: "Publish a document as the newest revision. The exit status is 0 once the document is committed, 1 if it was\n" +
			"rejected or certainly not committed, and 3 if the outcome is unknown: then run it again with --request.",
	}
	addresses := addressesFlag(cmd)
	expect := cmd.Flags().Uint64("expect", 0, "reject the document unless the newest revision is this `number`; 0: any")
	request := cmd.Flags().String("request", "",
		"`id` of an earlier attempt, as it was printed: the same document is committed at most once")
	timeout := cmd.Flags().Duration("timeout", 30*time.Second, "give up after this time")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		document, err := os.ReadFile(args[0])
		if err != nil {
			return err
		}
		id, err := requestID(*request)
		if err != nil {
			return err
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), *timeout)
		defer cancel()
		publish := operatorclient.Publish
		if *request != "" {
			publish = operatorclient.Retry
		}
		number, err := publish(ctx, *addresses, &configpb.PublishRequest{Document: document, Expected: *expect, Request: id})
		if err == nil {
			fmt.Fprintf(cmd.OutOrStdout(), "committed as %d\n", number)
			return nil
		}
		if u := (*operatorclient.OutcomeUnknownError)(nil); errors.As(err, &u) {
			return exitError{fmt.Errorf("unknown: the log may still take it (%w); run again with --request %016x", err, id),
				exitUnknown}
		}
		return err
	}
	return cmd
}

// requestID parses the hexadecimal request id of an earlier attempt, or draws a new one if s is "". An id is never 0.
func requestID(s string) (uint64, error) {
	if s == "" {
		return max(rand.Uint64(), 1), nil
	}
	id, err := strconv.ParseUint(s, 16, 64)
	if err != nil || id == 0 {
		return 0, fmt.Errorf("--request: %q is not a request id, want a hexadecimal number above 0", s)
	}
	return id, nil
}

func statusCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "status", Short: "Query all control machines and show which revision is in force where", Args: cobra.NoArgs,
	}
	addresses := addressesFlag(cmd)
	asJSON := cmd.Flags().Bool("json", false, "write the status as JSON")
	timeout := cmd.Flags().Duration("timeout", 3*time.Second, "wait this long for each control machine")
	revisions := cmd.Flags().Int("revisions", 10, "list at most this many revisions in the table")
	cmd.RunE = func(cmd *cobra.Command, _ []string) error {
		view := configstatus.Merge(queryAll(cmd.Context(), *addresses, *timeout))
		if err := writeView(cmd.OutOrStdout(), view, *asJSON, *revisions); err != nil {
			return err
		}
		answered := func(m configstatus.Machine) bool { return m.Answered }
		if !slices.ContainsFunc(view.Machines, answered) {
			return errors.New("no control machine answers")
		}
		return nil
	}
	return cmd
}

// writeView writes the merged status as indented JSON, or as a table of at most the given number of revisions.
func writeView(out io.Writer, view configstatus.View, asJSON bool, revisions int) error {
	if !asJSON {
		return view.Write(out, time.Now(), revisions)
	}
	encoder := json.NewEncoder(out)
	encoder.SetIndent("", "  ")
	return encoder.Encode(view)
}

// queryAll requests the status of all control machines in parallel, each within the timeout.
func queryAll(ctx context.Context, addresses []string, timeout time.Duration) []configstatus.Answer {
	answers := make([]configstatus.Answer, len(addresses))
	var calls sync.WaitGroup
	for i, address := range addresses {
		calls.Go(func() {
			ctx, cancel := context.WithTimeout(ctx, timeout)
			defer cancel()
			status, err := operatorclient.Status(ctx, address)
			answers[i] = configstatus.Answer{Address: address, Status: status, Err: err}
		})
	}
	calls.Wait()
	return answers
}

func showCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "show [N]", Short: "Print the document of revision N, or of the newest revision", Args: cobra.MaximumNArgs(1),
	}
	addresses := addressesFlag(cmd)
	timeout := cmd.Flags().Duration("timeout", 10*time.Second, "give up after this time")
	cmd.RunE = func(cmd *cobra.Command, args []string) error {
		number := uint64(0)
		if len(args) > 0 {
			n, err := strconv.ParseUint(args[0], 10, 64)
			if err != nil || n == 0 {
				return fmt.Errorf("%q is not a revision number, want 1 or more", args[0])
			}
			number = n
		}
		ctx, cancel := context.WithTimeout(cmd.Context(), *timeout)
		defer cancel()
		revision, err := operatorclient.Get(ctx, *addresses, number)
		if err != nil {
			return err
		}
		fmt.Fprintf(cmd.ErrOrStderr(), "revision %d, published %s, checksum %016x\n", revision.GetNumber(),
			time.UnixMilli(revision.GetPublishedUnixMs()).UTC().Format(time.RFC3339Nano), revision.GetChecksum())
		_, err = cmd.OutOrStdout().Write(revision.GetDocument())
		return err
	}
	return cmd
}
