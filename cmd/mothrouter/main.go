// Command mothrouter is a query broker: it takes queries cut into parts, has record servers answer the
// parts as the module cloverhook decides, and gives each query one final answer.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"syscall"
	"time"

	"cloverhook"
	"cloverhook/internal/broker"
	"cloverhook/internal/config"
	"cloverhook/internal/discovery"
	"cloverhook/internal/front"
	"cloverhook/internal/upstream"
)

const (
	stillAccepts = 500 * time.Millisecond // after SIGTERM: connections keep coming for up to 0.4 s
	memoryShare  = 0.7                    // of the limit, for the Go heap
	connsShare   = 0.5                    // of the descriptors, for clients
)

func main() {
	if err := run(os.Getenv); err != nil {
		fmt.Fprintln(os.Stderr, "mothrouter:", err)
		os.Exit(1)
	}
}

func run(getenv func(string) string) error {
	cfg, err := config.Load(getenv)
	if err != nil {
		return err
	}
	runtime.GOMAXPROCS(1) // a broker has one core
	debug.SetMemoryLimit(int64(memoryShare * float64(cfg.MemoryMB<<20)))
	log := slog.New(slog.NewTextHandler(os.Stderr, nil)).With("broker", cfg.Name)

	term := make(chan os.Signal, 1)
	signal.Notify(term, syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()

	link := upstream.New(ctx, upstream.Options{
		Streams: cfg.Streams, Idle: cfg.ConnIdle, ConnectTimeout: cfg.ConnectTimeout,
	})
	core := broker.New(broker.Options{Settings: cfg.Settings, OpenCap: cfg.OpenCap, Log: log},
		cloverhook.New(cfg.Settings, cfg.Seed), link)
	go core.Run(ctx)
	core.Update(cfg.Known)
	watcher := &discovery.Watcher{
		Addr: cfg.Discovery, Names: cfg.Names, Since: cfg.Version, Update: core.Update, Log: log,
	}
	go watcher.Run(ctx)

	listener, err := net.Listen("tcp", cfg.Listen)
	if err != nil {
		return fmt.Errorf("listen: %w", err)
	}
	clients := front.New(front.Options{
		Classes: cfg.Classes, Shards: cfg.Shards, ConnsMax: int(connsShare * float64(cfg.Sockets)),
	}, core, log)
	served := make(chan error, 1)
	go func() { served <- clients.Serve(listener) }()
	log.Info("serving", "listen", cfg.Listen, "servers", len(cfg.Known.Servers))

	select {
	case err := <-served:
		return err
	case <-term:
	}
	log.Info("ending")
	clients.Closing()
	time.Sleep(stillAccepts)
	listener.Close()
	clients.End(ctx)
	core.Drain(ctx)
	return nil
}
