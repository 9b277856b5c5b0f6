// Package explain holds what a node says about where a request would go and why, the query
// for it, and its table for operators. It decides nothing: the node fills the explanation
// with the code that routes requests.
package explain

import (
	"balsamtrail.org/mesh/model"
)

// Explanation says what a node would do with a request at the moment.
type Explanation struct {
	// Node and DataCentre are those of the node that was asked.
	Node       model.HostID     `json:"node"`
	DataCentre model.DataCentre `json:"data_centre"`
	// Position is that of the configuration in force.
	Position model.Position `json:"position"`
	// SourceAgeMs is the time since the control hosts were last heard from.
	SourceAgeMs int64   `json:"source_age_ms"`
	Request     Request `json:"request"`
	Outcome     Outcome `json:"outcome"`
	// Route is nil if the request has none.
	Route *Route `json:"route,omitempty"`
	// Parts are the destinations of the route: one, or those of its traffic split.
	Parts   []Part   `json:"parts,omitempty"`
	Budgets *Budgets `json:"budgets,omitempty"`
	// Conditions are refusals that depend on what the query does not say.
	Conditions []Refusal `json:"conditions,omitempty"`
}

// Refusal is an answer that the node gives without a backend server.
type Refusal struct {
	Status int    `json:"status"`
	Reason string `json:"reason"`
	// RetryAfterMinMs and RetryAfterMaxMs bound the random time after which the caller is
	// told to retry; 0 if it is not told.
	RetryAfterMinMs int64 `json:"retry_after_min_ms,omitempty"`
	RetryAfterMaxMs int64 `json:"retry_after_max_ms,omitempty"`
	// When says what the refusal depends on; empty if the request would be refused.
	When string `json:"when,omitempty"`
}

// Outcome is either a route or a refusal.
type Outcome struct {
	// Routed is set if the request would be sent to a backend server.
	Routed bool `json:"routed"`
	// Refusal is nil if Routed is set.
	Refusal *Refusal `json:"refusal,omitempty"`
}

// Route is the route of the request.
type Route struct {
	Name       model.RouteName `json:"name"`
	Host       string          `json:"host,omitempty"`
	PathPrefix string          `json:"path_prefix"`
	Methods    []string        `json:"methods,omitempty"`
	Kind       model.Kind      `json:"kind"`
	Priority   int             `json:"priority,omitempty"`
	// TimeoutMs is the time that the request would have: the least of its own and that of
	// the route.
	TimeoutMs       int64 `json:"timeout_ms"`
	LatencyTargetMs int64 `json:"latency_target_ms,omitempty"`
	// TimeToTargetMs is what would be left of the target, after the time for which the
	// caller is estimated to have been waiting.
	TimeToTargetMs int64 `json:"time_to_target_ms,omitempty"`
	MaxRetries     int   `json:"max_retries"`
	Hedge          bool  `json:"hedge"`
}

// Part is a destination of the route.
type Part struct {
	Service model.ServiceName `json:"service"`
	// Share is the part of the calls by weight, between 0 and 1.
	Share float64 `json:"share"`
	// Next is set for the destination of the next call of the route.
	Next bool `json:"next"`
	// Refusal is set if a call of the part would be refused.
	Refusal  *Refusal  `json:"refusal,omitempty"`
	Versions []Version `json:"versions,omitempty"`
}

// Version is a version of a service.
type Version struct {
	Version model.ServiceVersion `json:"version"`
	// Share is the share in the configuration, in units of 1/10,000, Part the part of the
	// calls that it gets at the moment, between 0 and 1.
	Share model.Share `json:"share"`
	Part  float64     `json:"part"`
	// Lag is the number of calls that the version should have got and did not get.
	Lag float64 `json:"lag"`
	// Next is set for the version of the next call of the service.
	Next bool `json:"next"`
	// Load is the average load as a fraction of the concurrency limit.
	Load float64 `json:"load"`
	// Reason says why the version gets no calls; empty if it gets some.
	Reason     string      `json:"reason,omitempty"`
	Candidates []Candidate `json:"candidates,omitempty"`
}

// Candidate is a backend server of a version.
type Candidate struct {
	Host       model.HostID     `json:"host"`
	DataCentre model.DataCentre `json:"data_centre"`
	State      string           `json:"state"`
	// Probability is the part of the next calls that would go there, between 0 and 1. It is
	// estimated from at most 1,000 choices.
	Probability float64 `json:"probability"`
	// Load is the load as a fraction of Limit, the concurrency limit.
	Load     float64 `json:"load"`
	Limit    float64 `json:"limit"`
	InFlight int     `json:"in_flight"`
	// ExpectedMs is the expected time until a call would be done; 0 if unknown. RecentMs
	// and UsualMs are the service times, LatencyMs the average latency seen by this node.
	ExpectedMs float64 `json:"expected_ms"`
	RecentMs   float64 `json:"recent_ms"`
	UsualMs    float64 `json:"usual_ms"`
	LatencyMs  float64 `json:"latency_ms"`
	// Reason says why the backend server would be chosen, or why it would not.
	Reason string `json:"reason"`
}

// Budgets are the budgets of retries and hedged attempts, and the requests in progress.
type Budgets struct {
	// CallRetries is the number of retries that the request would have.
	CallRetries int `json:"call_retries"`
	// RetryTokens is the number of retries that the node may make now, of RetryBurst.
	RetryTokens float64 `json:"retry_tokens"`
	RetryBurst  float64 `json:"retry_burst"`
	Hedging     Hedging `json:"hedging"`
	// Requests is the number of callers' requests in progress, of RequestLimit.
	Requests     int64 `json:"requests"`
	RequestLimit int64 `json:"request_limit"`
}

// Hedging says whether the request would be hedged.
type Hedging struct {
	Limit  float64 `json:"limit"`
	Tokens float64 `json:"tokens"`
	Burst  float64 `json:"burst"`
	// AfterMs and AfterSlowMs are the times after which the first attempt would be hedged:
	// usually, and if its backend server is slow; 0 if unknown.
	AfterMs     float64 `json:"after_ms"`
	AfterSlowMs float64 `json:"after_slow_ms"`
	// Skip says why the request would not be hedged; empty if it would be.
	Skip string `json:"skip,omitempty"`
}
