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

// Usage is what this process used in a period.
type Usage struct {
	Processor time.Duration // user and system, of all threads
	Allocated uint64        // bytes
	Objects   uint64        // allocations
	Wall      time.Duration
}

// Meter measures the usage from StartMeter on.
type Meter struct {
	processor time.Duration
	memory    runtime.MemStats
	startedAt time.Time
}

// StartMeter starts a meter.
func StartMeter() *Meter {
	m := &Meter{}
	runtime.ReadMemStats(&m.memory)
	m.startedAt, m.processor = time.Now(), processorTime()
	return m
}

// Stop returns the usage since the start.
func (m *Meter) Stop() Usage {
	l := Usage{Processor: processorTime() - m.processor, Wall: time.Since(m.startedAt)}
	var now runtime.MemStats
	runtime.ReadMemStats(&now)
	l.Allocated, l.Objects = now.TotalAlloc-m.memory.TotalAlloc, now.Mallocs-m.memory.Mallocs
	return l
}

// processorTime returns the processor time of this process so far, without that of its children.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// memoryInUse returns the size of the heap and the stacks of this process after a garbage collection, in bytes.
func memoryInUse() float64 {
	runtime.GC()
	runtime.GC() // frees what finalizers released
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc + m.StackInuse)
}

// ThisMachine describes the machine that this process runs on.
func ThisMachine() Machine {
	return Machine{Processor: procField("/proc/cpuinfo", "model name"), Cores: runtime.NumCPU(),
		MemoryGB: memoryTotal(), Go: runtime.Version(), Shared: true}
}

func memoryTotal() float64 {
	kb, _, _ := strings.Cut(procField("/proc/meminfo", "MemTotal"), " ")
	n, err := strconv.ParseFloat(kb, 64)
	if err != nil {
		return 0
	}
	const kbPerGB = 1 << 20
	return float64(int(n / kbPerGB))
}

// procField returns the first value of a name in a file of "name: value" lines, or "".
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
