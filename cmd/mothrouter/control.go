package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"net/netip"
	"os"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/configpb"
	"mothrouter/internal/controlplane/controlserver"
)

// controlCommand returns `mothrouter control`, which runs a control machine in the foreground.
func controlCommand() *cobra.Command {
	cmd := &cobra.Command{
		Use: "control FILE", Short: "Run a control machine with the settings in FILE, such as deploy/control.toml",
		Args: cobra.ExactArgs(1),
	}
	create := cmd.Flags().Bool("create", false,
		"create a new replicated log, once for a new fleet of control machines; the folder must not have one")
	cmd.RunE = func(_ *cobra.Command, args []string) error {
		cfg, err := config.LoadControlMachine(args[0])
		if err != nil {
			return err
		}
		ctx, cancel := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
		defer cancel()
		signal.Ignore(syscall.SIGXFSZ) // a write beyond RLIMIT_FSIZE then returns an error, as one on a full disk does
		return runControl(ctx, cfg, *create)
	}
	return cmd
}

// runControl runs a control machine until ctx ends.
func runControl(ctx context.Context, cfg *config.ControlMachine, create bool) error {
	brokerListener, err := listenTCP("control.listen", cfg.Listen)
	if err != nil {
		return err
	}
	peerListener, err := listenTCP("control.listen_peers", cfg.ListenPeers)
	if err != nil {
		brokerListener.Close()
		return err
	}
	options := controlserver.Options{
		Fleet: cfg.Fleet, Name: cfg.Name, Folder: cfg.Folder, Create: create, VoterTimeout: cfg.PromoteAfter,
		Listener: brokerListener, PeerListener: peerListener, Validate: validateDocument,
		Logger: slog.New(slog.NewTextHandler(os.Stderr, nil)).With("control", cfg.Name),
	}
	for _, m := range cfg.Members {
		options.Members = append(options.Members, controlserver.Member{
			Name: m.Name, ID: m.ID, Address: m.Address.String(), PeerAddress: m.PeerAddress.String(), Voter: m.Voter,
		})
	}
	return controlserver.Run(ctx, options)
}

// listenTCP listens at an address. An error names the settings key that has the address.
func listenTCP(key string, address netip.AddrPort) (net.Listener, error) {
	l, err := net.Listen("tcp", address.String())
	if err != nil {
		return nil, fmt.Errorf("%s: %w", key, err)
	}
	return l, nil
}

// validateDocument checks a configuration document, and that brokers can change to it from the document of the newest
// revision without a restart; newest is nil if there is no revision. It returns nil for a valid document.
func validateDocument(document, newest []byte) *configpb.Refusal {
	next, err := config.ParseDocument(document)
	if err != nil {
		return newRejection(0, err)
	}
	if newest == nil {
		return nil
	}
	previous, err := config.ParseDocument(newest)
	if err != nil { // committed by another release of this program; brokers compare with their own configuration
		return nil
	}
	if err := next.CheckChangeFrom(previous); err != nil {
		return newRejection(0, err)
	}
	return nil
}
