package main

import (
	"bufio"
	"bytes"
	"errors"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"time"

	"gonum.org/v1/gonum/stat"

	"mothrouter/internal/harness/recordservertest"
)

const (
	warmUp            = time.Second / 2 // not measured: connections are opened and estimates settle
	heartbeatInterval = 2 * time.Second // of the fake discovery service
	readinessAttempts = 100
	readinessInterval = 50 * time.Millisecond
)

// run starts the broker with the given number of workers, applies the load and returns the measurements.
func run(fleet *recordservertest.Fleet, workers int) (result, error) {
	dir, err := os.MkdirTemp("", "loadgen")
	if err != nil {
		return result{}, err
	}
	defer os.RemoveAll(dir)
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return result{}, err
	}
	defer discovery.Close()
	go serveDiscovery(discovery)
	listen, err := unusedAddress()
	if err != nil {
		return result{}, err
	}
	cmd, err := brokerCommand(dir, fleet, listen, discovery.Addr().String(), workers)
	if err != nil {
		return result{}, err
	}
	var log bytes.Buffer
	cmd.Stderr = &log
	if err := cmd.Start(); err != nil {
		return result{}, err
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
	}()
	r, err := measureBroker(listen, cmd.Process.Pid)
	if err != nil {
		return result{}, fmt.Errorf("%w; log of the broker:\n%s", err, log.String())
	}
	return r, nil
}

// brokerCommand writes the broker's files to a directory and returns the command that starts it.
func brokerCommand(dir string, fleet *recordservertest.Fleet, listen, discovery string, workers int) (*exec.Cmd, error) {
	config, err := brokerConfig(fleet, listen, discovery)
	if err != nil {
		return nil, err
	}
	configPath := filepath.Join(dir, "config.json")
	if err := os.WriteFile(configPath, config, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command(*program)
	if workers > 0 {
		coresPath := filepath.Join(dir, "cores.toml")
		if err := os.WriteFile(coresPath, fmt.Appendf(nil, "workers = %d\n", workers), 0o600); err != nil {
			return nil, err
		}
		cmd = exec.Command(*program, "-cores", coresPath)
	}
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+configPath)
	return cmd, nil
}

// measureBroker applies the load to a running broker and measures it.
func measureBroker(address string, pid int) (result, error) {
	if err := waitUntilReady(address); err != nil {
		return result{}, err
	}
	applyLoad(address, warmUp)
	before := processorTime(pid)
	load := applyLoad(address, time.Duration(*seconds*float64(time.Second)))
	processor := processorTime(pid) - before
	if len(load.latencies) == 0 {
		return result{}, errors.New("no query had a successful answer")
	}
	slices.Sort(load.latencies)
	queries := float64(len(load.latencies) + load.lost)
	return result{
		served: float64(len(load.latencies)) / *seconds, lost: float64(load.lost) / *seconds,
		p50:       1000 * stat.Quantile(0.5, stat.Empirical, load.latencies, nil),
		p99:       1000 * stat.Quantile(0.99, stat.Empirical, load.latencies, nil),
		processor: processor * 1e6 / queries, memory: residentMemory(pid),
	}, nil
}

// waitUntilReady waits until the broker is ready. It returns an error after readinessAttempts.
func waitUntilReady(address string) error {
	for range readinessAttempts {
		if isReady(address) {
			return nil
		}
		time.Sleep(readinessInterval)
	}
	return fmt.Errorf("broker at %s not ready after %v", address, readinessAttempts*readinessInterval)
}

// isReady reports whether the broker answers GET /up with 200.
func isReady(address string) bool {
	c, err := net.Dial("tcp", address)
	if err != nil {
		return false
	}
	defer c.Close()
	fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
	line, _ := bufio.NewReader(c).ReadString('\n')
	return strings.Contains(line, " 200 ")
}

// serveDiscovery answers watches of the endpoint list with heartbeats and no updates, until the listener is closed.
func serveDiscovery(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go serveWatch(c)
	}
}

func serveWatch(c net.Conn) {
	defer c.Close()
	bufio.NewReader(c).ReadString('\n')
	fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
	for {
		if _, err := fmt.Fprint(c, "1\r\n\n\r\n"); err != nil {
			return
		}
		time.Sleep(heartbeatInterval)
	}
}

// unusedAddress returns a loopback address on which nothing listens.
func unusedAddress() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}
