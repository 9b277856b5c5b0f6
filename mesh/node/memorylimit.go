package node

import (
	"math"
	"runtime/debug"
)

// LimitMemory makes the garbage collector keep the process below memory bytes, and returns a
// function that restores the former limit. Without it the heap may reach twice what is in
// use, and more while the collector waits for a processor. A lower limit that is already set,
// such as by GOMEMLIMIT, stays.
func LimitMemory(memory int64) (restore func()) {
	former := debug.SetMemoryLimit(-1)
	debug.SetMemoryLimit(min(former, softMemoryLimit(memory)))
	return func() { debug.SetMemoryLimit(former) }
}

// softMemoryLimit returns the soft limit of the garbage collector that keeps a process below
// memory bytes. The eighth between the two covers what is allocated while a collection runs.
func softMemoryLimit(memory int64) int64 {
	if memory > math.MaxInt64/2 {
		return math.MaxInt64
	}
	return memory - memory/8
}
