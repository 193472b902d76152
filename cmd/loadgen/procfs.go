package main

import (
	"fmt"
	"math"
	"os"
	"strconv"
	"strings"
)

// Indexes of fields in /proc/PID/stat, counted from 0 after the command name, and the unit of both fields; see proc(5).
const (
	userTimeField   = 11
	systemTimeField = 12
	ticksPerSecond  = 100
)

const kbPerMB = 1024

// processorTime returns the processor time that a process has used so far in seconds, or NaN if the process has ended.
func processorTime(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return math.NaN()
	}
	_, rest, _ := strings.Cut(string(data), ") ")
	fields := strings.Fields(rest)
	user, _ := strconv.ParseFloat(fields[userTimeField], 64)
	system, _ := strconv.ParseFloat(fields[systemTimeField], 64)
	return (user + system) / ticksPerSecond
}

// residentMemory returns the resident memory of a process in MB, or NaN if the process has ended.
func residentMemory(pid int) float64 {
	data, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return math.NaN()
	}
	for line := range strings.Lines(string(data)) {
		if value, ok := strings.CutPrefix(line, "VmRSS:"); ok {
			kb, _ := strconv.ParseFloat(strings.Fields(value)[0], 64)
			return kb / kbPerMB
		}
	}
	return math.NaN()
}
