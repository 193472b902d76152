// Command loadgen measures a mothrouter on this machine's loopback: it runs stand-in record servers and clients, starts
// the broker with one worker and with several, in turns, and prints throughput, latency, processor time and memory with
// intervals over the runs. It is small on purpose: docs/cores.md tells what it is for.
package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"flag"
	"fmt"
	"io"
	"math"
	"net"
	"net/textproto"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"gonum.org/v1/gonum/stat"
	"gonum.org/v1/gonum/stat/distuv"

	"mothrouter/internal/harness/recordservertest"
)

var (
	program  = flag.String("program", "bin/mothrouter", "the broker's program")
	workers  = flag.String("workers", "0,1,2", "workers to compare; 0: without -cores")
	runs     = flag.Int("runs", 5, "runs of each, in turns")
	seconds  = flag.Float64("seconds", 4, "measured time of each run")
	clients  = flag.Int("clients", 64, "client connections")
	servers  = flag.Int("servers", 60, "record servers")
	parts    = flag.Int("parts", 36, "parts of each query")
	work     = flag.Duration("work", 4*time.Millisecond, "mean time of a part at a record server")
	rate     = flag.Float64("rate", 0, "queries offered a second, by the clock; 0: as many as come back")
	openCap  = flag.Int("open", 100_000, "queries and parts that a broker holds")
	memoryMB = flag.Int("memory", 512, "MB")
	sockets  = flag.Int("sockets", 2048, "descriptors")
)

func main() {
	flag.Parse()
	if err := measure(); err != nil {
		fmt.Fprintln(os.Stderr, "loadgen:", err)
		os.Exit(1)
	}
}

// result is one run's figures.
type result struct {
	served, lost float64 // queries a second
	p50, p99     float64 // ms
	cpu          float64 // µs of the broker a query
	memory       float64 // MB
}

func measure() error {
	fleet, err := recordservertest.New(recordservertest.Options{Servers: *servers, ReplicationFactor: 2, ServiceTime: *work, Seed: 1,
		NonIdempotent: func(id string) bool { return strings.HasPrefix(id, "c") }})
	if err != nil {
		return err
	}
	defer fleet.Close()
	variants := strings.Split(*workers, ",")
	all := make([][]result, len(variants))
	for range *runs {
		for i, v := range variants { // in turns: what else the machine does hits all alike
			n, err := strconv.Atoi(v)
			if err != nil {
				return fmt.Errorf("-workers: %w", err)
			}
			r, err := run(fleet, n)
			if err != nil {
				return err
			}
			all[i] = append(all[i], r)
		}
	}
	fmt.Printf("%d parts a query, %d record servers, %d clients, offered %s, %d runs of %g s\n\n", *parts, *servers,
		*clients, map[bool]string{true: "as many as come back", false: fmt.Sprintf("%g a second", *rate)}[*rate == 0], *runs, *seconds)
	fmt.Println("| workers | served a second | not served | p50 ms | p99 ms | µs of processor a query | MB |")
	fmt.Println("| --- | --- | --- | --- | --- | --- | --- |")
	for i, v := range variants {
		if v == "0" {
			v = "none (one loop)"
		}
		column := func(of func(result) float64) string {
			var x []float64
			for _, r := range all[i] {
				x = append(x, of(r))
			}
			return interval(x)
		}
		fmt.Printf("| %s | %s | %s | %s | %s | %s | %s |\n", v,
			column(func(r result) float64 { return r.served }), column(func(r result) float64 { return r.lost }),
			column(func(r result) float64 { return r.p50 }), column(func(r result) float64 { return r.p99 }),
			column(func(r result) float64 { return r.cpu }), column(func(r result) float64 { return r.memory }))
	}
	broken, seen := fleet.Violations()
	fmt.Printf("\nrules broken: %d, in %d parts\n", len(broken), seen)
	for _, b := range broken {
		fmt.Println("  " + b)
	}
	return nil
}

// interval is a mean with the half width of its 95 % interval by Student's t.
func interval(x []float64) string {
	mean, sd := stat.MeanStdDev(x, nil)
	if len(x) < 2 {
		return fmt.Sprintf("%.4g", mean)
	}
	t := distuv.StudentsT{Mu: 0, Sigma: 1, Nu: float64(len(x) - 1)}.Quantile(0.975)
	return fmt.Sprintf("%.4g ± %.2g", mean, t*sd/math.Sqrt(float64(len(x))))
}

// run starts the broker with so many workers and measures it.
func run(fleet *recordservertest.Fleet, n int) (r result, err error) {
	dir, err := os.MkdirTemp("", "loadgen")
	if err != nil {
		return r, err
	}
	defer os.RemoveAll(dir)
	discovery, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return r, err
	}
	defer discovery.Close()
	go quiet(discovery)
	listen, err := free()
	if err != nil {
		return r, err
	}
	path := filepath.Join(dir, "config.json")
	text, err := settings(fleet, listen, discovery.Addr().String())
	if err != nil {
		return r, err
	}
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return r, err
	}
	cmd := exec.Command(*program)
	if n > 0 {
		cores := filepath.Join(dir, "cores.toml")
		if err := os.WriteFile(cores, fmt.Appendf(nil, "workers = %d\n", n), 0o600); err != nil {
			return r, err
		}
		cmd = exec.Command(*program, "-cores", cores)
	}
	var log bytes.Buffer
	cmd.Env, cmd.Stderr = append(os.Environ(), "PROXY_CONFIG="+path), &log
	if err := cmd.Start(); err != nil {
		return r, err
	}
	defer func() {
		cmd.Process.Kill()
		cmd.Wait()
	}()
	if err := up(listen); err != nil {
		return r, fmt.Errorf("%w: %s", err, log.String())
	}
	drive(listen, time.Second/2) // connections come up, estimates settle
	before := cpuTime(cmd.Process.Pid)
	waits, lost := drive(listen, time.Duration(*seconds*float64(time.Second)))
	spent := cpuTime(cmd.Process.Pid) - before
	if len(waits) == 0 {
		return r, fmt.Errorf("nothing was served: %s", log.String())
	}
	slices.Sort(waits)
	return result{
		served: float64(len(waits)) / *seconds, lost: float64(lost) / *seconds,
		p50: 1000 * stat.Quantile(0.5, stat.Empirical, waits, nil), p99: 1000 * stat.Quantile(0.99, stat.Empirical, waits, nil),
		cpu: spent * 1e6 / float64(len(waits)+lost), memory: memory(cmd.Process.Pid),
	}, nil
}

// drive asks from all clients for a time, and returns how long each answer took, from when it was due.
func drive(addr string, d time.Duration) (waits []float64, lost int) {
	var mu sync.Mutex
	var all sync.WaitGroup
	begin := time.Now()
	var turn atomic.Int64
	for c := range *clients {
		all.Go(func() {
			conn, err := net.Dial("tcp", addr)
			if err != nil {
				return
			}
			defer conn.Close()
			in := textproto.NewReader(bufio.NewReaderSize(conn, 1<<16))
			var mine []float64
			failed := 0
			defer func() {
				mu.Lock()
				defer mu.Unlock()
				waits, lost = append(waits, mine...), lost+failed
			}()
			for {
				due := time.Now()
				if *rate > 0 {
					due = begin.Add(time.Duration(float64(turn.Add(1)) / *rate * float64(time.Second)))
					time.Sleep(time.Until(due))
				}
				if due.Sub(begin) > d {
					return
				}
				ok, err := query(conn, in, c, int(classNames.Add(1)))
				if err != nil {
					failed++
					return
				}
				if !ok {
					failed++
					continue
				}
				mine = append(mine, time.Since(due).Seconds())
			}
		})
	}
	all.Wait()
	return waits, lost
}

var classNames atomic.Int64

// query sends one query and takes its answer.
func query(conn net.Conn, in *textproto.Reader, client, n int) (served bool, err error) {
	var body strings.Builder
	body.WriteString(`{"targets":[`)
	for i := range *parts {
		if i > 0 {
			body.WriteByte(',')
		}
		fmt.Fprintf(&body, `{"partition":%d,"share":%g}`, (client+n+i)%*servers, 1/float64(*parts))
	}
	body.WriteString(`],"query":"c41e77d0"}`)
	fmt.Fprintf(conn, "POST /usage-lookup HTTP/1.1\r\nHost: x\r\nX-Request-Id: u%d\r\nX-Class: usage-lookup\r\nX-Deadline: 2000m\r\nContent-Length: %d\r\n\r\n%s",
		n, body.Len(), body.String())
	conn.SetReadDeadline(time.Now().Add(4 * time.Second))
	line, err := in.ReadLine()
	if err != nil {
		return false, err
	}
	head, err := in.ReadMIMEHeader()
	if err != nil {
		return false, err
	}
	length, err := strconv.Atoi(head.Get("Content-Length"))
	if err != nil {
		return false, err
	}
	_, err = io.CopyN(io.Discard, in.R, int64(length))
	return strings.Contains(line, " 200 "), err
}

func up(addr string) error {
	for range 100 {
		if c, err := net.Dial("tcp", addr); err == nil {
			fmt.Fprint(c, "GET /up HTTP/1.1\r\nHost: x\r\n\r\n")
			line, _ := bufio.NewReader(c).ReadString('\n')
			c.Close()
			if strings.Contains(line, " 200 ") {
				return nil
			}
		}
		time.Sleep(50 * time.Millisecond)
	}
	return fmt.Errorf("the broker does not come up")
}

// quiet is a directory that has nothing to tell.
func quiet(l net.Listener) {
	for {
		c, err := l.Accept()
		if err != nil {
			return
		}
		go func() {
			defer c.Close()
			bufio.NewReader(c).ReadString('\n')
			fmt.Fprint(c, "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")
			for {
				if _, err := fmt.Fprint(c, "1\r\n\n\r\n"); err != nil {
					return
				}
				time.Sleep(2 * time.Second)
			}
		}()
	}
}

func free() (string, error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// settings is a broker's configuration on the fleet.
func settings(fleet *recordservertest.Fleet, listen, discovery string) ([]byte, error) {
	var known []map[string]any
	for _, s := range fleet.Servers {
		known = append(known, map[string]any{"id": s.ID, "addr": s.Addr, "zone": "a", "kind": "k", "cell": s.ReplicaSet,
			"state": "active", "weight": 1, "started_ms": 0})
	}
	class := func(name, semantics string, worth float64) map[string]any {
		return map[string]any{"name": name, "deadlineS": 4, "objectiveS": 1.5, "lateWorth": 0, "semantics": semantics, "worth": worth}
	}
	return json.Marshal(map[string]any{
		"name": "n0", "listen": listen, "discovery": discovery, "seed": "1",
		"limits": map[string]any{"memory_mb": *memoryMB, "sockets": *sockets},
		"known":  map[string]any{"version": 0, "full": true, "servers": known},
		"settings": map[string]any{
			"caps": map[string]any{"cancel": true, "connIdleS": 15, "connectTimeoutS": 0.25, "maxRetryAfterS": 0.5,
				"openCap": *openCap, "retryAfter": true, "sendCap": 4, "streamsPerConn": 100},
			"classes":   []any{class("usage-lookup", "free", 1), class("charge-post", "single_shot", 2)},
			"discovery": "push", "machineTypes": []string{"k"}, "zones": []string{"a"}, "peersTotal": 1, "tickS": 0.005,
			"familyInfo": map[string]any{"bundleMax": 1, "cells": *servers, "classFloor": []float64{1, 1},
				"needByClass": []float64{1, 1}, "reach": 2, "slabs": *servers},
			"report": map[string]any{"how": "piggyback"},
		},
	})
}

// cpuTime is the processor time of a process in seconds, and memory what it holds in MB.
func cpuTime(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return math.NaN()
	}
	_, rest, _ := strings.Cut(string(text), ") ")
	f := strings.Fields(rest)
	user, _ := strconv.ParseFloat(f[11], 64)
	system, _ := strconv.ParseFloat(f[12], 64)
	return (user + system) / 100
}

func memory(pid int) float64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return math.NaN()
	}
	for line := range strings.Lines(string(text)) {
		if kb, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			v, _ := strconv.ParseFloat(strings.Fields(kb)[0], 64)
			return v / 1024
		}
	}
	return math.NaN()
}
