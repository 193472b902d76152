// Command publication is the case of a publication that is reported as no revision and becomes one.
package main

import (
	"bytes"
	"errors"
	"flag"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"sync"
	"syscall"
	"time"

	"mothrouter/review/standin"
)

const (
	regionDelay  = 5 * time.Millisecond // one way between two regions
	appendedSize = 2000                 // bytes; only an entry with a document is larger
)

// machine is a control machine.
type machine struct {
	name, listen, peers string
	proxy               *standin.Proxy // the way of the others to it
	process             *standin.Process
}

type site struct {
	root, folder string
	record       *standin.Record
	machines     []*machine
	first        *machine // asked first by the operator's commands; nil: in the order of the file
}

func main() {
	root := flag.String("root", ".", "the repository")
	folder := flag.String("folder", "", "a temporary folder")
	record := flag.String("record", "record.txt", "the file of what was sent and answered")
	trouble := flag.Bool("trouble", true, "with the disruption")
	flag.Parse()
	r, err := standin.NewRecord(*record)
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(standin.CouldNot)
	}
	s := &site{root: *root, folder: *folder, record: r}
	status, err := s.play(*trouble)
	for _, m := range s.machines {
		if m.process != nil {
			m.process.Kill()
		}
	}
	if err != nil {
		r.Say("the case could not run: %v", err)
		status = standin.CouldNot
	}
	os.Exit(status)
}

func (s *site) play(trouble bool) (status int, err error) {
	if err := s.start(); err != nil {
		return 0, err
	}
	first, second := document(4.0), document(3.5)
	if code, out := s.publish("first.json", first, 20*time.Second); code != 0 {
		return 0, fmt.Errorf("the first publication: status %d, %s", code, out)
	}
	leader, err := s.leader()
	if err != nil {
		return 0, err
	}
	s.record.Line("the leader is %s", leader.name)
	s.first = leader
	if trouble {
		s.loseOthers(leader)
	}
	refused := false // an outcome said that the document is no revision
	code, out := s.publish("second.json", second, 8*time.Second)
	if code == 3 {
		// The page: "After unknown run the command it names, with the same document".
		id := regexp.MustCompile(`--request ([0-9a-f]+)`).FindStringSubmatch(out)
		if id == nil {
			return 0, fmt.Errorf("no request id in %q", out)
		}
		code, out = s.publish("second.json", second, 8*time.Second, "--request", id[1])
		refused = code == 1 && strings.Contains(out, "not taken by any control machine")
	}
	if trouble && !refused {
		return 0, fmt.Errorf("the second publication ended with status %d: %s", code, out)
	}
	for _, m := range s.machines {
		m.proxy.SetCut(false)
	}
	for _, m := range s.machines {
		if m != leader && trouble { // the page: "Bring one of the disks back"
			s.record.Line("%s is started again, with its disk", m.name)
			if err := s.run(m); err != nil {
				return 0, err
			}
			break
		}
	}
	return s.check(first, second, refused)
}

// check compares the outcomes of the publications with the revisions.
func (s *site) check(first, second string, refused bool) (status int, err error) {
	newest := ""
	for end := time.Now().Add(30 * time.Second); time.Now().Before(end); time.Sleep(500 * time.Millisecond) {
		if _, newest = s.command(5*time.Second, "config", "show", "--control", s.control()); newest == second {
			break
		}
		if code, out := s.command(5*time.Second, "config", "status", "--control", s.control()); !refused && code != 0 {
			return 0, fmt.Errorf("status: %s", out)
		}
	}
	switch {
	case refused && newest == second:
		code, out := s.publish("second.json", second, 20*time.Second) // as an operator does who was told that it is no revision
		s.record.Say("broken: the operator was told that the document is no revision, and it is the newest one; "+
			"published anew: status %d, %s", code, strings.TrimSpace(out))
		_, out = s.command(5*time.Second, "config", "status", "--control", s.control())
		s.record.Line("status:\n%s", out)
		return standin.Broken, nil
	case refused && newest == first, !refused && newest == second:
		s.record.Say("held: the revisions are as the operator was told")
		return standin.Held, nil
	}
	return 0, fmt.Errorf("the newest revision is %q", newest)
}

// start starts three control machines, each in a region of its own.
func (s *site) start() error {
	for _, name := range []string{"control-a", "control-b", "control-c"} {
		m := &machine{name: name, proxy: &standin.Proxy{Delay: regionDelay}}
		for _, address := range []*string{&m.listen, &m.peers} {
			free, err := standin.FreeAddress()
			if err != nil {
				return err
			}
			*address = free
		}
		if err := m.proxy.Listen(m.peers); err != nil {
			return err
		}
		s.machines = append(s.machines, m)
	}
	for _, m := range s.machines {
		if err := os.Mkdir(filepath.Join(s.folder, m.name), 0o700); err != nil {
			return err
		}
		if err := os.WriteFile(s.file(m), []byte(s.settings(m)), 0o600); err != nil {
			return err
		}
		if err := s.run(m, "--create"); err != nil {
			return err
		}
	}
	return nil
}

func (s *site) file(m *machine) string { return filepath.Join(s.folder, m.name+".toml") }

// settings returns the file of a control machine, in the form of deploy/control.toml.
func (s *site) settings(m *machine) string {
	var b strings.Builder
	fmt.Fprintf(&b, "fleet = \"bern-roaming\"\nname = %q\nlisten = %q\nlisten_peers = %q\nfolder = %q\npromote_after_s = 60.0\n",
		m.name, m.listen, m.peers, filepath.Join(s.folder, m.name))
	for i, other := range s.machines {
		fmt.Fprintf(&b, "\n[[members]]\nname = %q\nid = %d\naddress = %q\npeer_address = %q\nregion = %q\nrole = \"voter\"\n",
			other.name, i+1, other.listen, other.proxy.Address(), []string{"north", "south", "west"}[i])
	}
	return b.String()
}

func (s *site) run(m *machine, flags ...string) (err error) {
	run, err := standin.RunCommand(s.root)
	if err != nil {
		return err
	}
	command := strings.Join(append([]string{run, "control", s.file(m)}, flags...), " ")
	name := fmt.Sprintf("%s-%d", m.name, time.Now().UnixNano())
	m.process, err = standin.Start(s.root, s.folder, name, command, nil)
	return err
}

// loseOthers has the two other voters end in the moment in which the next document is on its way to them.
func (s *site) loseOthers(leader *machine) {
	var once sync.Once
	for _, m := range s.machines {
		if m == leader {
			continue
		}
		m.proxy.OnPiece(func(n int) {
			if n < appendedSize {
				return
			}
			once.Do(func() {
				for _, other := range s.machines {
					other.proxy.SetCut(true)
				}
				for _, other := range s.machines {
					if other != leader {
						s.record.Line("%s is lost", other.name)
						other.process.Kill()
					}
				}
			})
		})
	}
}

// leader waits until all machines know the same leader.
func (s *site) leader() (*machine, error) {
	for end := time.Now().Add(10 * time.Second); time.Now().Before(end); time.Sleep(200 * time.Millisecond) {
		_, out := s.command(5*time.Second, "config", "status", "--json", "--control", s.control())
		found := regexp.MustCompile(`(?i)"leader": "(control-[abc])"`).FindStringSubmatch(out)
		if found == nil {
			continue
		}
		for _, m := range s.machines {
			if m.name == found[1] {
				return m, nil
			}
		}
	}
	return nil, errors.New("no leader")
}

// control returns the addresses of all machines.
func (s *site) control() string {
	var all []string
	if s.first != nil {
		all = append(all, s.first.listen)
	}
	for _, m := range s.machines {
		if m != s.first {
			all = append(all, m.listen)
		}
	}
	return strings.Join(all, ",")
}

// publish publishes a document as an operator does.
func (s *site) publish(name, text string, timeout time.Duration, flags ...string) (code int, out string) {
	path := filepath.Join(s.folder, name)
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		return -1, err.Error()
	}
	args := append([]string{"config", "publish", "--timeout", timeout.String(), "--control", s.control(), path}, flags...)
	return s.command(timeout+10*time.Second, args...)
}

// command runs a command of operators and returns its status and all that it writes to standard output, or to standard error
// if it fails.
func (s *site) command(timeout time.Duration, args ...string) (code int, out string) {
	cmd := exec.Command(filepath.Join(s.root, "bin", "mothrouter"), args...)
	var stdout, stderr bytes.Buffer
	cmd.Stdout, cmd.Stderr = &stdout, &stderr
	cmd.SysProcAttr = &syscall.SysProcAttr{Pdeathsig: syscall.SIGKILL}
	if err := cmd.Start(); err != nil {
		return -1, err.Error()
	}
	end := time.AfterFunc(timeout, func() { _ = cmd.Process.Kill() }) // Wait tells
	defer end.Stop()
	_ = cmd.Wait() // the status is in ProcessState
	code = cmd.ProcessState.ExitCode()
	out = stdout.String()
	if code != 0 {
		out += stderr.String()
	}
	if args[1] == "publish" {
		s.record.Line("mothrouter %s: status %d, %s", strings.Join(args, " "), code, strings.TrimSpace(out))
	}
	return code, out
}

// document returns a document with a deadline of the class usage-lookup. It is padded, so that its entry is the largest
// message between the machines.
func document(deadline float64) string {
	return fmt.Sprintf(`{"discovery": "127.0.0.1:8500", "settings": {
  "caps": {"cancel": true, "connIdleS": 15.0, "connectTimeoutS": 0.25, "maxRetryAfterS": 0.5, "openCap": 267, "probes": true,
    "retryAfter": true, "secondCopies": false, "sendCap": 4, "streamsPerConn": 100},
  "classes": [
    {"name": "usage-lookup", "objectiveS": 1.5, "deadlineS": %.1f, "lateWorth": 0.0, "semantics": "free", "worth": 1.0},
    {"name": "charge-post", "objectiveS": 1.5, "deadlineS": 5.0, "lateWorth": 0.0, "semantics": "single_shot", "worth": 2.0},
    {"name": "tariff-report", "objectiveS": 2.0, "deadlineS": 6.0, "lateWorth": 0.1, "semantics": "free", "worth": 3.0}],
  "discovery": "push",
  "familyInfo": {"bundleMax": 1, "cells": 2, "reach": 2, "slabs": 4, "classFloor": [1.0, 1.0, 0.8],
    "needByClass": [1.0, 1.0, 1.0], "partialEarns": [0.9, 0.9, 0.8], "fetchParts": [0, 0, 0]},
  "index": 0, "peersTotal": 1, "machineTypes": ["m"], "report": {"columns": ["busy", "rif"], "how": "piggyback"},
  "rules": {"coldShare": 0.2, "drainGraceS": 0.25, "fallMultiple": 2.5, "fallS": 1.5, "warmUpS": 17.0},
  "tickS": 0.005, "tiers": ["usage-backends"], "workload": "fanout", "zone": 0, "zones": ["a"]}}
%s`, deadline, strings.Repeat(" ", appendedSize))
}
