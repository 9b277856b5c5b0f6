package claim

import (
	"fmt"
	"runtime"
	"testing"
)

// BenchmarkClaimAndComplete measures the time to encode, decode and apply the
// two commands of a write, and the memory that its record takes for 24 h.
func BenchmarkClaimAndComplete(b *testing.B) {
	var before, after runtime.MemStats
	runtime.GC()
	runtime.ReadMemStats(&before)
	s := NewState()
	commandBytes := 0
	b.ResetTimer()
	for i := range b.N {
		key := keyAt(t0, fmt.Sprintf("%032d", i))
		claim, complete := claimCommand(key, fmt.Sprintf("%026d", i), t0), completeCommand(key, fmt.Sprintf("%026d", i), t0, "recorded")
		claim.Limits = Limits{Claims: b.N, Bytes: 1 << 40}
		complete.Limits = claim.Limits
		for n, c := range []Command{claim, complete} {
			data, _ := EncodeCommand(c)
			commandBytes += len(data)
			decoded, _ := DecodeCommand(data)
			s.Apply(decoded, uint64(2*i+n))
		}
	}
	b.StopTimer()
	runtime.GC()
	runtime.ReadMemStats(&after)
	_, accounted := s.Len()
	b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(b.N), "heap-B/record")
	b.ReportMetric(float64(accounted)/float64(b.N), "accounted-B/record")
	b.ReportMetric(float64(commandBytes)/float64(b.N), "log-B/write")
	runtime.KeepAlive(s)
}
