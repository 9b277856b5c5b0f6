package soak

import (
	"context"
	"fmt"
	"maps"
	"math"
	"net/http"
	"slices"
	"strings"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/load"
	"balsamtrail.org/mesh/model"
)

// largeRoutes are the routes with large bodies and the split route, which the soak adds to
// demo.FirstNote.
const largeRoutes = `
    {"name": "uploads", "path_prefix": "/uploads", "methods": ["POST"], "service": "ledger", "kind": "upload",
     "timeout": "2s", "max_retries": 2, "hedge": false},
    {"name": "downloads", "path_prefix": "/downloads", "methods": ["GET"], "service": "ledger", "kind": "download",
     "timeout": "2s", "max_retries": 2, "hedge": false},
    {"name": "split", "path_prefix": "/split", "methods": ["GET"], "service": "ledger", "kind": "lookup",
     "timeout": "1s", "max_retries": 2, "hedge": false,
     "split": [{"service": "ledger", "weight": 7}, {"service": "roster", "weight": 3}]},`

// splitWeights are the weights in largeRoutes.
var splitWeights = map[string]int{"ledger": 7, "roster": 3}

const (
	splitFlow = "split"
	// minUploadBytes and maxUploadBytes bound the bodies of uploads.
	minUploadBytes, maxUploadBytes = 50_000, 400_000
	// maxDownloadBytes bounds the answers of downloads.
	maxDownloadBytes = 540_000
	// steadyTime is for how long the parts of the split route are counted after the recovery.
	// At splitRate it gives enough answers for a random choice by weight to stay within
	// maxSplitDeviation at three standard deviations.
	steadyTime = 4 * time.Second
	// splitRate is the number of requests of the split route per second.
	splitRate = 80
	// minSplitAnswers is the number of answers below which the parts are not compared, and the
	// run fails.
	minSplitAnswers = 200
	// maxSplitDeviation is the greatest difference between the part of the answers that a
	// service gave and its part of the weights.
	maxSplitDeviation = 0.1
)

// firstNote returns demo.FirstNote with largeRoutes.
func firstNote() string {
	const start = `"routes": {"added": [`
	return strings.Replace(demo.FirstNote, start, start+largeRoutes, 1)
}

// largeFlows returns the flows of largeRoutes, made from flow.
func largeFlows(flow func(name string, kind model.Kind, service, method, path string, rate float64) load.Flow) []load.Flow {
	uploads := flow("uploads", model.KindUpload, "ledger", http.MethodPost, "/uploads", 8)
	uploads.MinBodyBytes, uploads.BodyBytes = minUploadBytes, maxUploadBytes
	downloads := flow("downloads", model.KindDownload, "ledger", http.MethodGet, "/downloads/9", 8)
	downloads.MinAnswerBytes, downloads.AnswerBytes = 1, maxDownloadBytes
	split := flow(splitFlow, model.KindLookup, "ledger", http.MethodGet, "/split/5", splitRate)
	split.Split = splitWeights
	return []load.Flow{uploads, downloads, split}
}

// checkSplit counts the answers of the split route while nothing is faulty, and compares
// the parts of its services with their weights.
func (r *run) checkSplit(ctx context.Context) {
	sleep(ctx, maxInvalidTime) // invalid answers may last longer than the faults
	since := time.Now()
	sleep(ctx, steadyTime)
	counts := r.report.ServicesSince(splitFlow, since)
	r.logProgress("answers of the split route: %v", counts)
	for _, found := range splitDeviations(counts, splitWeights) {
		r.recordViolation("%s", found)
	}
}

// splitDeviations lists the services whose part of the answers is not that of their weight.
func splitDeviations(counts map[string]int64, weights map[string]int) []string {
	var answers, total float64
	for service, weight := range weights {
		answers += float64(counts[service])
		total += float64(weight)
	}
	if answers < minSplitAnswers {
		return []string{fmt.Sprintf("%.0f answers of the split route in steady state, at least %d expected", answers, minSplitAnswers)}
	}
	var out []string
	for _, service := range slices.Sorted(maps.Keys(weights)) {
		got, want := float64(counts[service])/answers, float64(weights[service])/total
		if math.Abs(got-want) > maxSplitDeviation {
			out = append(out, fmt.Sprintf("service %s gave %.2f of the answers of the split route, its weight is %.2f", service, got, want))
		}
	}
	return out
}
