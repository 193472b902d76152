package scale

import (
	"bufio"
	"os"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// Usage holds the resources that this process used in a period.
type Usage struct {
	CPUTime        time.Duration // user and system time of all threads
	AllocatedBytes uint64
	Allocations    uint64 // number of allocated objects
	Wall           time.Duration
}

// Meter measures the resource usage of this process since StartMeter.
type Meter struct {
	cpuTime   time.Duration
	memory    runtime.MemStats
	startedAt time.Time
}

// StartMeter returns a meter that measures from now on.
func StartMeter() *Meter {
	m := &Meter{}
	runtime.ReadMemStats(&m.memory)
	m.startedAt, m.cpuTime = time.Now(), cpuTime()
	return m
}

// Stop returns the usage since StartMeter.
func (m *Meter) Stop() Usage {
	used := Usage{CPUTime: cpuTime() - m.cpuTime, Wall: time.Since(m.startedAt)}
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	used.AllocatedBytes, used.Allocations = now.TotalAlloc-m.memory.TotalAlloc, now.Mallocs-m.memory.Mallocs
	return used
}

// cpuTime returns the CPU time that this process has used since its start, excluding its children, or 0 on an error.
func cpuTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the bytes of heap objects and stacks of this process after a garbage collection.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // frees objects whose finalizers ran after the first collection
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// ThisMachine describes the machine that this process runs on.
func ThisMachine() Machine {
	return Machine{Processor: procField("/proc/cpuinfo", "model name"), Cores: runtime.NumCPU(),
		MemoryGB: memoryTotal(), Go: runtime.Version(), Shared: true}
}

// memoryTotal returns the machine's memory in whole GiB, or 0 if it cannot be read.
func memoryTotal() float64 {
	kb, _, _ := strings.Cut(procField("/proc/meminfo", "MemTotal"), " ")
	n, err := strconv.ParseFloat(kb, 64)
	if err != nil {
		return 0
	}
	const kbPerGB = 1 << 20
	return float64(int(n / kbPerGB))
}

// procField returns the first value of a field in a file of "name: value" lines, or "" if the file has no such field or
// cannot be read.
func procField(path, name string) string {
	f, err := os.Open(path)
	if err != nil {
		return ""
	}
	defer f.Close()
	for in := bufio.NewScanner(f); in.Scan(); {
		key, value, ok := strings.Cut(in.Text(), ":")
		if ok && strings.TrimSpace(key) == name {
			return strings.TrimSpace(value)
		}
	}
	return ""
}
