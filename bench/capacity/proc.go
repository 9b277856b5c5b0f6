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

// tick is the unit of the processor times in /proc/<pid>/stat (USER_HZ is 100).
const clockTick = 10 * time.Millisecond

// Usage is what a process has used so far.
type Usage struct {
	CPU time.Duration
	// Resident and Anonymous are memory in bytes; the latter leaves out the
	// pages of the program file, which processes share.
	Resident, Anonymous int64
}

// Minus returns the processor time since old and the present memory.
func (u Usage) Minus(old Usage) Usage {
	u.CPU -= old.CPU
	return u
}

// usage reads the usage of one process.
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

// parseStat returns the user and system time of a line of /proc/<pid>/stat. The
// program name may hold spaces and parentheses, so fields count from the last ")".
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

// children maps the settings file of each child process of this one to its PID.
func childPIDs() (map[string]int, error) {
	stats, err := filepath.Glob("/proc/[0-9]*/stat")
	if err != nil {
		return nil, err
	}
	out := map[string]int{}
	for _, file := range stats {
		b, err := os.ReadFile(file)
		if err != nil {
			continue // the process ended meanwhile
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

// ownCPU returns the processor time of this process.
func ownCPU() time.Duration {
	var r syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &r); err != nil {
		return 0
	}
	return time.Duration(r.Utime.Nano() + r.Stime.Nano())
}

// heap returns the live heap of this process.
func liveHeapBytes() float64 {
	var m runtime.MemStats
	runtime.GC()
	runtime.GC()
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// cost returns the processor time of one run of f, from n runs.
func microsPerRun(n int, f func()) float64 {
	runtime.GC()
	start := ownCPU()
	for range n {
		f()
	}
	return micros(ownCPU()-start, n)
}
