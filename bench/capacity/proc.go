package capacity

import (
	"bytes"
	"fmt"
	"os"
	"path/filepath"
	"runtime"
	"strconv"
	"strings"
	"syscall"
	"time"
)

// clockTick is the unit of the processor times in /proc/<pid>/stat (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// Usage holds the processor time and memory of a process.
type Usage struct {
	// CPU is the user and system time since the start of the process.
	CPU time.Duration
	// Resident and Anonymous are memory in bytes. Anonymous leaves out the pages of the
	// program file, which processes share.
	Resident, Anonymous int64
}

// Minus returns u with the processor time since old and with unchanged memory.
func (u Usage) Minus(old Usage) Usage {
	u.CPU -= old.CPU
	return u
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (Usage, error) {
	b, err := os.ReadFile(fmt.Sprintf("/proc/%d/stat", pid))
	if err != nil {
		return Usage{}, err
	}
	cpu, err := parseStat(string(b))
	if err != nil {
		return Usage{}, err
	}
	u := Usage{CPU: cpu}
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return u, err
	}
	for line := range strings.Lines(string(status)) {
		name, value, _ := strings.Cut(line, ":")
		f := strings.Fields(value)
		if len(f) == 0 {
			continue
		}
		kb, _ := strconv.ParseInt(f[0], 10, 64)
		switch name {
		case "VmRSS":
			u.Resident = kb << 10
		case "RssAnon":
			u.Anonymous = kb << 10
		}
	}
	return u, nil
}

// parseStat returns the sum of user and system time in a line of /proc/<pid>/stat. The
// program name can contain spaces and parentheses, so fields are counted from the last ")".
func parseStat(line string) (time.Duration, error) {
	f := strings.Fields(line[strings.LastIndexByte(line, ')')+1:])
	if len(f) < 13 {
		return 0, fmt.Errorf("stat has %d fields", len(f))
	}
	user, err := strconv.ParseInt(f[11], 10, 64)
	if err != nil {
		return 0, err
	}
	system, err := strconv.ParseInt(f[12], 10, 64)
	return time.Duration(user+system) * clockTick, err
}

// childPIDs returns the PID of each child process of this process, keyed by its
// settings file.
func childPIDs() (map[string]int, error) {
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		return nil, err
	}
	out := map[string]int{}
	for _, file := range stats {
		b, err := os.ReadFile(file)
		if err != nil {
			continue // the process has exited since Glob
		}
		f := strings.Fields(string(b[bytes.LastIndexByte(b, ')')+1:]))
		if len(f) < 2 || f[1] != strconv.Itoa(os.Getpid()) {
			continue
		}
		dir := filepath.Dir(file)
		pid, _ := strconv.Atoi(filepath.Base(dir))
		args, _ := os.ReadFile(filepath.Join(dir, "cmdline"))
		for arg := range bytes.SplitSeq(args, []byte{0}) {
			if strings.HasSuffix(string(arg), ".json") {
				out[string(arg)] = pid
			}
		}
	}
	return out, nil
}

// ownCPU returns the user and system time of this process.
func ownCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// liveHeapBytes returns the size of the live heap of this process, in bytes.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// microsPerRun runs f n times and returns the mean processor time of a run, in
// microseconds.
func microsPerRun(n int, f func()) float64 {
	runtime.GC()
	start := ownCPU()
	for range n {
		f()
	}
	return micros(ownCPU()-start, n)
}
