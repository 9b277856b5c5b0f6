package telemetry

import (
	"net/http"

	"github.com/rcrowley/go-metrics"
)

// MetricsHandler serves the metrics of the process as a JSON object.
func MetricsHandler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "application/json")
		metrics.WriteJSONOnce(metrics.DefaultRegistry, w)
	})
}

// Counter returns the counter with the given name and creates it if necessary.
func Counter(name string) metrics.Counter {
	return metrics.GetOrRegisterCounter(name, metrics.DefaultRegistry)
}

// latencySampleSize is the number of values that a latency histogram keeps.
const latencySampleSize = 1028

// Latency returns the histogram with the given name and creates it if necessary. Its
// values are in microseconds; recent values have more weight.
func Latency(name string) metrics.Histogram {
	return metrics.GetOrRegister(name, func() metrics.Histogram {
		return metrics.NewHistogram(metrics.NewExpDecaySample(latencySampleSize, latencyDecayAlpha))
	}).(metrics.Histogram)
}

// latencyDecayAlpha is the decay factor of the exponentially decaying sample. It
// biases the sample heavily to the last five minutes.
const latencyDecayAlpha = 0.015

// Gauge returns the gauge with the given name and creates it if necessary.
func Gauge(name string) metrics.Gauge {
	return metrics.GetOrRegisterGauge(name, metrics.DefaultRegistry)
}
