package standin

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"time"
)

// Site is a small deployment: record servers in a ring with a reach of 2, and a discovery.
type Site struct {
	Root      string // of the repository
	Folder    string // temporary
	Record    *Record
	Servers   []*Server
	Discovery *Discovery
	Brokers   int    // settings.peersTotal
	Flags     string // of the brokers that are started from now on
	processes []*Process
}

// Shards is how many shards each cell begins.
const Shards = 2

// NewSite starts record servers and a discovery that lists them.
func NewSite(root, folder string, record *Record, servers, brokers int, work time.Duration) (*Site, error) {
	s := &Site{Root: root, Folder: folder, Record: record, Brokers: brokers, Discovery: &Discovery{Record: record}}
	list := List{Version: 1, Full: true}
	for i := range servers {
		server := &Server{ID: fmt.Sprintf("s-%d", i), Cell: i, Work: work, Record: record}
		if err := server.Listen(); err != nil {
			return nil, err
		}
		s.Servers = append(s.Servers, server)
		list.Servers = append(list.Servers, Entry{ID: server.ID, Addr: server.Address(), Zone: "bern-1", Kind: "std-2c",
			Cell: i, State: "active", Weight: 1})
	}
	return s, s.Discovery.Listen(list)
}

// Settings returns the settings of the wire page's example, for this site's size.
func (s *Site) Settings() json.RawMessage {
	cells := len(s.Servers)
	return json.RawMessage(fmt.Sprintf(`{"callers": {"marksRetry": false},
 "caps": {"cancel": true, "connIdleS": 15.0, "connectTimeoutS": 0.25, "cpuUsPerRequest": 0.0, "cpuUsPerS": 600000,
  "maxRetryAfterS": 0.5, "mayTell": false, "openCap": 267, "probes": true, "retryAfter": true, "secondCopies": false,
  "sendCap": 4, "streamsPerConn": 100},
 "classes": [{"deadlineS": 4.0, "group": "all", "lateWorth": 0.0, "name": "usage-lookup", "objectiveS": 1.5,
   "semantics": "free", "stream": false, "windowS": 5.0, "worth": 1.0},
  {"deadlineS": 5.0, "group": "all", "lateWorth": 0.0, "name": "charge-post", "objectiveS": 1.5,
   "semantics": "single_shot", "stream": false, "windowS": 5.0, "worth": 2.0},
  {"deadlineS": 6.0, "group": "all", "lateWorth": 0.1, "name": "tariff-report", "objectiveS": 2.0,
   "semantics": "free", "stream": false, "windowS": 5.0, "worth": 3.0}],
 "costs": {"connection": 0.0, "crossZone": 0.0, "discovery": 0.0, "handshake": 0.02, "lateFail": 0.03, "moves": 0.0,
  "origin": 0.0, "peer": 0.0, "probe": 0.01, "waste": 0.07},
 "countedBy": "request", "discovery": "push",
 "familyInfo": {"bundleMax": 1, "cells": %d, "classFloor": [1.0, 1.0, 0.8], "fetchParts": [0, 0, 0],
  "needByClass": [1.0, 1.0, 1.0], "partialEarns": [0.9, 0.9, 0.8], "perCallWorkS": 0.0, "reach": 2, "slabs": %d,
  "warmKeys": false},
 "index": 0, "layer": 0, "machineTypes": ["std-2c"], "overShareWorth": 0.1, "peersTotal": %d,
 "report": {"columns": ["busy", "rif"], "how": "piggyback"},
 "rules": {"answerSlackS": 0.02, "askWithinS": 10.0, "coldShare": 0.2, "drainGraceS": 0.25, "fallMultiple": 2.5,
  "fallS": 1.5, "warmUpS": 17.0},
 "scoringMix": {"whole": 0.7, "worstClass": 0.2, "worstTenant": 0.0, "worstWindow": 0.1},
 "tenants": [], "tickS": 0.005, "tiers": ["usage-backends"], "weights": "rough", "workload": "fanout", "zone": 0,
 "zones": ["bern-1"]}`, cells, cells*Shards, s.Brokers))
}

// Broker is a running broker.
type Broker struct {
	*Process
	Listen string
}

// StartBroker starts a broker by the command run of the deploy file and waits until GET /up answers 200.
func (s *Site) StartBroker(name, listen string, environment []string, extra ...*os.File) (*Broker, error) {
	b, err := s.LaunchBroker(name, listen, environment, extra...)
	if err != nil {
		return nil, err
	}
	up := func() bool {
		response, err := http.Get("http://" + listen + "/up")
		if err != nil {
			return false
		}
		response.Body.Close()
		http.DefaultClient.CloseIdleConnections()
		return response.StatusCode == http.StatusOK
	}
	if err := b.Await(up); err != nil {
		return nil, err
	}
	s.Record.Line("the broker %s is up at %s", name, listen)
	return b, nil
}

// LaunchBroker starts a broker and does not wait for it.
func (s *Site) LaunchBroker(name, listen string, environment []string, extra ...*os.File) (*Broker, error) {
	run, err := RunCommand(s.Root)
	if err != nil {
		return nil, err
	}
	file := map[string]any{"name": name, "listen": listen, "discovery": s.Discovery.Address(), "seed": "8c1f30d27a5be964",
		"limits": map[string]any{"cores": 1.0, "memory_mb": 192, "sockets": 1024}, "known": s.Discovery.List(),
		"settings": s.Settings()}
	text, err := json.MarshalIndent(file, "", " ")
	if err != nil {
		return nil, err
	}
	path := filepath.Join(s.Folder, name+".json")
	if err := os.WriteFile(path, text, 0o600); err != nil {
		return nil, err
	}
	environment = append([]string{"PROXY_CONFIG=" + path}, environment...)
	logName := fmt.Sprintf("%s-%d", name, len(s.processes))
	p, err := Start(s.Root, s.Folder, logName, strings.TrimSpace(run+" "+s.Flags), environment, extra...)
	if err != nil {
		return nil, err
	}
	s.processes = append(s.processes, p)
	return &Broker{Process: p, Listen: listen}, nil
}

// Await waits until ready, for 10 s at most.
func (b *Broker) Await(ready func() bool) error {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(20 * time.Millisecond) {
		select {
		case <-b.Done:
			return errors.New("the broker has ended at its start")
		default:
		}
		if ready() {
			return nil
		}
	}
	return errors.New("the broker is not ready within 10 s")
}

// IsHealthy reports whether the call HEALTH at a control address is answered by ACK.
func IsHealthy(control string) bool {
	conn, err := Dial(control)
	if err != nil {
		return false
	}
	defer conn.Close()
	if _, err := io.WriteString(conn, "HEALTH\n"); err != nil {
		return false
	}
	reply, _ := io.ReadAll(conn) // what has come tells
	return strings.HasPrefix(string(reply), "ACK")
}

// Stop ends all brokers that were started.
func (s *Site) Stop() {
	for _, p := range s.processes {
		p.Kill()
	}
}

// Query returns the bytes of a query with parts at the given shards, of equal shares.
func Query(id, class string, deadline time.Duration, shards ...int) string {
	type target struct {
		Partition int     `json:"partition"`
		Share     float64 `json:"share"`
	}
	var targets []target
	for _, shard := range shards {
		targets = append(targets, target{shard, 1 / float64(len(shards))})
	}
	body, _ := json.Marshal(map[string]any{"targets": targets, "query": "q" + id}) // strings and numbers alone
	return fmt.Sprintf("POST /%s HTTP/1.1\r\nHost: app.svc\r\nX-Request-Id: %s\r\nX-Class: %s\r\nX-Deadline: %dm\r\n"+
		"Content-Length: %d\r\n\r\n%s", class, id, class, deadline.Milliseconds(), len(body), body)
}

// Dial connects to a broker.
func Dial(address string) (net.Conn, error) { return net.DialTimeout("tcp", address, time.Second) }
