package telemetry

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// MetricsHandler writes the process's metrics as one JSON object.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(metrics.DefaultRegistry, w)
	})
}

// Counter returns the named counter of the process.
func Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry)
}

// latencySampleSize is the number of latencies that a histogram keeps.
const latencySampleSize = 1028

// Latency returns the named histogram of the process, in microseconds. Newer
// values have more weight.
func Latency(name string) metrics.Histogram {
	return metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(latencySampleSize, latencyDecayAlpha))
	}).(metrics.Histogram)
}

// latencyDecayAlpha weighs the values of the last five minutes.
const latencyDecayAlpha = 0.015

// Gauge returns the named gauge of the process.
func Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, metrics.DefaultRegistry)
}
