package main

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"time"
)

// object is a JSON object.
type object = map[string]any

// class is a class of query in the settings.
type class struct {
	name      string
	semantics string
	aimS      float64
	deadlineS float64
	lateWorth float64
	worth     float64
	floor     float64
}

// bernClasses are the classes of the deployment bern-roaming.
var bernClasses = []class{
	{"usage-lookup", "free", 1.5, 4, 0, 1, 1},
	{"charge-post", "single_shot", 1.5, 5, 0, 2, 1},
	{"tariff-report", "free", 2, 6, 0.1, 3, 0.8},
}

// deployment holds what the settings say of a small deployment like bern-roaming.
type deployment struct {
	cells   int
	slabs   int
	reach   int
	openCap int
	brokers int
	classes []class
	memory  int // MB
	sockets int
}

func bern() deployment {
	const cells = 12 // a record server in each
	return deployment{cells: cells, slabs: 2 * cells, reach: 2, openCap: 267, brokers: 1, classes: bernClasses, memory: 192,
		sockets: 1024}
}

// settings returns the settings in the form of the configuration.
func (d deployment) settings() object {
	var classes []object
	var floors, needs, partial []float64
	var fetch []int
	for _, c := range d.classes {
		classes = append(classes, object{"name": c.name, "semantics": c.semantics, "objectiveS": c.aimS, "deadlineS": c.deadlineS,
			"lateWorth": c.lateWorth, "worth": c.worth, "group": "all", "windowS": 5.0, "stream": false})
		floors, needs, partial, fetch = append(floors, c.floor), append(needs, 1), append(partial, 0.8), append(fetch, 0)
	}
	return object{
		"callers": object{"marksRetry": false},
		"caps": object{"cancel": true, "connIdleS": 15.0, "connectTimeoutS": 0.25, "maxRetryAfterS": 0.5, "openCap": d.openCap,
			"probes": true, "retryAfter": true, "secondCopies": false, "sendCap": 4, "streamsPerConn": 100, "mayTell": false,
			"cpuUsPerRequest": 0.0, "cpuUsPerS": 600000},
		"classes":   classes,
		"costs":     object{"handshake": 0.02, "lateFail": 0.03, "probe": 0.01, "waste": 0.07},
		"countedBy": "request", "discovery": "push",
		"familyInfo": object{"bundleMax": 1, "cells": d.cells, "reach": d.reach, "slabs": d.slabs, "classFloor": floors,
			"needByClass": needs, "partialEarns": partial, "fetchParts": fetch, "perCallWorkS": 0.0, "warmKeys": false},
		"index": 0, "layer": 0, "machineTypes": []string{"std-2c"}, "peersTotal": d.brokers,
		"report": object{"columns": []string{"busy", "rif"}, "how": "piggyback"},
		"rules": object{"answerSlackS": 0.02, "askWithinS": 10.0, "coldShare": 0.2, "drainGraceS": 0.25, "fallMultiple": 2.5,
			"fallS": 1.5, "warmUpS": 17.0},
		"scoringMix": object{"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
		"tenants":    []object{}, "tickS": 0.005, "tiers": []string{"usage-backends"}, "weights": "rough", "workload": "fanout",
		"zone": 0, "zones": []string{"bern-1"},
	}
}

// brokerProcess is a broker that runs as a process of its own.
type brokerProcess struct {
	cmd    *exec.Cmd
	listen string
	folder string
	config string        // path of its configuration
	ended  chan struct{} // closed once it has ended
}

// startBroker starts a broker by the run command of the deploy file, with flags behind it. accept is the clients' listening socket that it inherits,
// nil if it opens its own; control is where operators call it, empty for nowhere.
func startBroker(folder, name, listen, control string, d deployment, known list, discoveryAddr string,
	accept *os.File, flags ...string) (*brokerProcess, error) {
	run, err := runCommand()
	if err != nil {
		return nil, err
	}
	known.Full = true
	config := object{"name": name, "listen": listen, "discovery": discoveryAddr, "seed": fmt.Sprintf("%016x", rand.Uint64()),
		"limits": object{"cores": 1.0, "memory_mb": d.memory, "sockets": d.sockets}, "known": known, "settings": d.settings()}
	if control != "" {
		config["control"] = control
	}
	text, err := json.Marshal(config)
	if err != nil {
		return nil, err
	}
	path := filepath.Join(folder, fmt.Sprintf("%s-%d.json", name, time.Now().UnixNano()))
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	cmd := exec.Command("/bin/sh", "-c", strings.Join(append([]string{run}, flags...), " "))
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "PROXY_NAME="+name, "PROXY_LISTEN="+listen,
		"PROXY_DISCOVERY="+discoveryAddr, "TMPDIR="+folder)
	if accept != nil {
		cmd.ExtraFiles = []*os.File{accept}
		cmd.Env = append(cmd.Env, "PROXY_ACCEPT_FD=3")
	}
	logFile, err := os.Create(strings.TrimSuffix(path, ".json") + ".log")
	if err != nil {
		return nil, err
	}
	cmd.Stdout, cmd.Stderr = logFile, logFile
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return nil, err
	}
	b := &brokerProcess{cmd: cmd, listen: listen, folder: folder, config: path, ended: make(chan struct{})}
	go func() {
		_ = cmd.Wait() // how it has ended shows in its log
		close(b.ended)
	}()
	return b, nil
}

// runCommand returns run of the deploy file.
func runCommand() (string, error) {
	text, err := os.ReadFile("deploy/balancer.toml")
	if err != nil {
		return "", err
	}
	for line := range strings.Lines(string(text)) {
		if value, ok := strings.CutPrefix(line, "run = "); ok {
			return strings.Trim(strings.TrimSpace(value), `"`), nil
		}
	}
	return "", errors.New("deploy/balancer.toml has no run")
}

// ready waits until the broker says yes.
func (b *brokerProcess) ready() error {
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		client := http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}
		response, err := client.Get("http://" + b.listen + "/up")
		if err != nil {
			continue
		}
		response.Body.Close()
		if response.StatusCode == http.StatusOK {
			return nil
		}
	}
	return errors.New("the broker is not ready after 30 s")
}

// stop ends the broker.
func (b *brokerProcess) stop() {
	_ = b.cmd.Process.Signal(syscall.SIGTERM) // it may have ended
	select {
	case <-b.ended:
	case <-time.After(8 * time.Second):
		_ = b.cmd.Process.Kill() // it may have ended
		<-b.ended
	}
}

// freeAddr returns a loopback address that nobody listens at. Stand-ins listen at 127.0.0.1, so none of them takes it meanwhile.
func freeAddr() (string, error) {
	l, err := net.Listen("tcp", fmt.Sprintf("127.%d.%d.%d:0", 1+rand.IntN(250), rand.IntN(250), 1+rand.IntN(250)))
	if err != nil {
		return "", err
	}
	defer l.Close()
	return l.Addr().String(), nil
}

// target is one part of a query in a client's body.
type target struct {
	Partition int     `json:"partition"`
	Share     float64 `json:"share"`
}

// targets returns n parts of equal shares from a shard on.
func targets(first, n, slabs int) (parts []target) {
	for i := range n {
		parts = append(parts, target{Partition: (first + i) % slabs, Share: 1 / float64(n)})
	}
	return parts
}

// request returns the bytes of a query.
func request(id, class string, deadline time.Duration, body []byte) []byte {
	head := fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %dm\r\nContent-Length: %d\r\n\r\n",
		class, id, class, deadline.Milliseconds(), len(body))
	return append([]byte(head), body...)
}

// queryBody returns the body of a query.
func queryBody(parts []target, text string) []byte {
	body, err := json.Marshal(object{"targets": parts, "query": text})
	if err != nil {
		panic(err) // such a body can always be encoded
	}
	return body
}

// answer is what a client got.
type answer struct {
	status  int // 0: none
	whole   bool
	results []result
	closes  bool
	err     error
}

type result struct {
	Partition int    `json:"partition"`
	Value     string `json:"value"`
}

// readAnswer reads one answer of a broker.
func readAnswer(in *bufio.Reader) (a answer) {
	response, err := http.ReadResponse(in, nil)
	if err != nil {
		return answer{err: err}
	}
	defer response.Body.Close()
	var body struct {
		Whole   bool     `json:"whole"`
		Results []result `json:"results"`
	}
	err = json.NewDecoder(response.Body).Decode(&body)
	if response.StatusCode == http.StatusOK && err != nil {
		return answer{err: err}
	}
	return answer{status: response.StatusCode, whole: body.Whole, results: body.Results, closes: response.Close}
}

// ask sends one query on a connection of its own and waits for its answer.
func ask(addr string, text []byte, wait time.Duration) answer {
	c, err := net.DialTimeout("tcp", addr, time.Second)
	if err != nil {
		return answer{err: err}
	}
	defer c.Close()
	c.SetDeadline(time.Now().Add(wait))
	if _, err := c.Write(text); err != nil {
		return answer{err: err}
	}
	return readAnswer(bufio.NewReader(c))
}
