package node

import (
	"encoding/json"
	"errors"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/explain"
	"balsamtrail.org/mesh/hedging"
	"balsamtrail.org/mesh/membership"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/routing"
)

// explainer says where a request would go and why. It uses the steps of entry on a snapshot
// of the picker and changes no state.
type explainer struct {
	entry        *entry
	node         model.HostID
	dataCentre   model.DataCentre
	requestLimit int64
	// announcements returns all announcements of a service that the node knows.
	announcements func(model.ServiceName) []membership.Announcement
}

// ServeHTTP answers a query of package explain.
func (x *explainer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	request, err := explain.ParseValues(r.URL.Query())
	if err == nil {
		var out explain.Explanation
		if out, err = x.explain(time.Now(), request); err == nil {
			_ = json.NewEncoder(w).Encode(out)
			return
		}
	}
	w.WriteHeader(http.StatusBadRequest)
	var field *explain.FieldError
	if !errors.As(err, &field) {
		field = &explain.FieldError{Message: err.Error()}
	}
	_ = json.NewEncoder(w).Encode(field)
}

// explain returns the explanation of a request, or an error that names an invalid field.
func (x *explainer) explain(now time.Time, request explain.Request) (explain.Explanation, error) {
	out := explain.Explanation{
		Node: x.node, DataCentre: x.dataCentre, Request: request,
		Position: x.entry.dispatcher.position(), SourceAgeMs: x.entry.freshness.Age(now).Milliseconds(),
	}
	r, err := request.HTTPRequest()
	if err != nil {
		return out, err
	}
	if request.TimeoutMs > 0 {
		r.Header.Set(HeaderTimeout, strconv.FormatInt(request.TimeoutMs, 10))
	}
	table, refused := x.entry.tableInForce()
	if refused == nil && x.entry.inProgress.Load() >= x.requestLimit {
		refused = &refusedTooManyCalls
	}
	var route note.Route
	if refused == nil {
		route, refused = x.entry.routeOf(table, r)
	}
	if refused != nil {
		out.Outcome.Refusal = refusalOf(refused.status, refused.reason, x.entry.minRetryAfter(*refused))
		return out, nil
	}
	out.Route = x.route(now, r, route)
	out.Conditions = x.conditions(table, route)
	snapshot := x.entry.dispatcher.picker.Snapshot(route)
	next, version := x.parts(now, &out, snapshot, route)
	out.Budgets = x.budgets(r, route, next, version, snapshot)
	out.Outcome = outcomeOf(out.Parts)
	return out, nil
}

// refusalOf returns a refusal with the bounds of the time after which callers are told to
// retry.
func refusalOf(status int, reason string, minRetryAfter time.Duration) *explain.Refusal {
	r := &explain.Refusal{Status: status, Reason: reason}
	if status == http.StatusServiceUnavailable {
		r.RetryAfterMinMs = minRetryAfter.Milliseconds()
		r.RetryAfterMaxMs = (minRetryAfter + min(minRetryAfter, maxRetryAfterSpread)).Milliseconds()
	}
	return r
}

// outcomeOf returns the outcome of a request: a refusal only if it would be refused whatever
// the part of the split.
func outcomeOf(parts []explain.Part) explain.Outcome {
	for _, p := range parts {
		if p.Refusal == nil && p.Share > 0 {
			return explain.Outcome{Routed: true}
		}
	}
	for _, p := range parts {
		if p.Refusal != nil {
			return explain.Outcome{Refusal: p.Refusal}
		}
	}
	return explain.Outcome{}
}

func (x *explainer) route(now time.Time, r *http.Request, route note.Route) *explain.Route {
	out := &explain.Route{
		Name: route.Name, Host: route.Host, PathPrefix: route.PathPrefix, Methods: route.Methods, Kind: route.Kind, Priority: int(route.Priority),
		TimeoutMs: callTimeout(r, route, 0).Milliseconds(), LatencyTargetMs: route.LatencyTarget.Milliseconds(),
		MaxRetries: route.MaxRetries, Hedge: route.Hedge,
	}
	if route.LatencyTarget > 0 {
		waited := time.Duration(0)
		if timeout, ok := headerTimeout(r); ok {
			waited = x.entry.elapsed.Estimate(now, route.Name, timeout)
		}
		out.TimeToTargetMs = (route.LatencyTarget - waited).Milliseconds()
	}
	return out
}

// conditions returns the refusals that depend on the header and the body of the request.
func (x *explainer) conditions(table *routing.Table, route note.Route) []explain.Refusal {
	limits := x.entry.limitsOf(table)
	out := []explain.Refusal{
		{Status: http.StatusRequestHeaderFieldsTooLarge, Reason: errHeadTooLarge.Error(), When: fmt.Sprintf("if its head is above %d bytes", limits.HeaderBytes)},
		{Status: bodyStatus(ErrBodyTooLarge), Reason: ErrBodyTooLarge.Error(), When: fmt.Sprintf("if its body is above %d bytes", limits.BodyBytes)},
	}
	if isKeyed(route) {
		out = append(out, explain.Refusal{Status: http.StatusBadRequest, Reason: reasonNoKey, When: "if it has none"})
	}
	return out
}

// parts adds the destinations of a route and returns the service and the version of the next
// call, as far as they are not random.
func (x *explainer) parts(now time.Time, out *explain.Explanation, snapshot *routing.Picker, route note.Route) (model.ServiceName, model.ServiceVersion) {
	destinations, total := route.Split, 0
	if len(destinations) < 2 {
		destinations = []note.Destination{{Service: route.Service, Weight: 1}}
	}
	for _, d := range destinations {
		total += int(d.Weight)
	}
	next := destinations[0].Service
	nextKnown := len(destinations) == 1 || x.entry.dispatcher.picker.SplitStarted(route)
	if nextKnown {
		next = snapshot.PickService(route)
	}
	var nextVersion model.ServiceVersion
	for _, d := range destinations {
		part := explain.Part{Service: d.Service, Share: float64(d.Weight) / float64(max(total, 1)), Next: nextKnown && d.Service == next}
		version := x.versions(now, &part, snapshot, route)
		if d.Service == next {
			nextVersion = version
		}
		out.Parts = append(out.Parts, part)
	}
	return next, nextVersion
}

// versions adds the versions of a part, or its refusal, and returns the version of its next
// call.
func (x *explainer) versions(now time.Time, part *explain.Part, snapshot *routing.Picker, route note.Route) model.ServiceVersion {
	choices, err := snapshot.Choices(now, part.Service, nil)
	var next model.ServiceVersion
	if err == nil {
		next, err = x.entry.dispatcher.chooseVersion(now, snapshot, part.Service)
	}
	own, takesOwn := routing.Choice{}, false
	if err == nil {
		own, takesOwn = x.entry.dispatcher.chooseOwnServer(now, snapshot, route.Kind, part.Service, next, nil)
	}
	if err == nil && !takesOwn {
		_, err = snapshot.PickBackendServer(now, part.Service, next, nil)
	}
	if err != nil {
		reason := noServerAttempt(eris.Wrapf(ErrNotRun, "%v", err)).reason
		part.Refusal = refusalOf(http.StatusServiceUnavailable, reason, (&call{route: route}).minRetryAfter(true))
	}
	known := map[model.HostID]bool{}
	for _, c := range choices {
		v := explain.Version{
			Version: c.Version, Share: c.Share, Part: c.Part, Lag: c.Lag, Next: c.Version == next, Load: c.Load, Reason: versionReason(c),
		}
		for _, s := range c.Candidates {
			known[s.Host] = true
			if takesOwn && c.Version == next {
				s.Probability = 0
				if s.Host == own.Host {
					s.Probability, s.Reason = 1, own.Reason
				}
			}
			v.Candidates = append(v.Candidates, candidateOf(s))
		}
		part.Versions = append(part.Versions, v)
	}
	x.addOthers(part, known)
	return next
}

// versionReason returns why a version gets no calls; empty if it gets some.
func versionReason(c routing.VersionChoice) string {
	switch {
	case len(c.Candidates) == 0:
		return "no live backend server"
	case c.Part > 0:
		return ""
	case c.Blocked:
		return "blocked by this node after failures"
	}
	return "no share"
}

// candidateOf converts a backend server that may get calls.
func candidateOf(c routing.Candidate) explain.Candidate {
	out := explain.Candidate{
		Host: c.Host, DataCentre: c.DataCentre, State: c.State.String(), Probability: c.Probability, Load: c.Load, Limit: c.Limit,
		InFlight: c.InFlight, ExpectedMs: inMilliseconds(c.Expected), RecentMs: inMilliseconds(c.Service.Recent),
		UsualMs: inMilliseconds(c.Service.Usual), LatencyMs: inMilliseconds(c.Latency), Reason: c.Reason,
	}
	switch {
	case c.Probability > 0:
	case c.Excluded:
		out.Reason = "tried already"
	case c.EjectedFor > 0:
		out.Reason = fmt.Sprintf("ejected for %d ms after failures", c.EjectedFor.Milliseconds())
	case c.ZeroLimit:
		out.Reason = "states that it takes no requests"
	case c.Own:
		out.Reason = "others are expected to be done sooner"
	default:
		out.Reason = "others are expected to be done sooner, or their data centre is preferred"
	}
	if c.Cold {
		out.Reason += ", cold"
	}
	if c.Ramp < 1 {
		out.Reason += fmt.Sprintf(", data centre returns to service at %.0f%%", c.Ramp*100)
	}
	return out
}

func inMilliseconds(d time.Duration) float64 { return float64(d.Microseconds()) / 1000 }

// addOthers adds the backend servers of the part that are announced and get no calls.
func (x *explainer) addOthers(part *explain.Part, known map[model.HostID]bool) {
	for _, a := range x.announcements(part.Service) {
		if known[a.Host] {
			continue
		}
		reason := "its data centre is out of service"
		if a.State != membership.StateServing {
			reason = "is not serving"
		}
		c := explain.Candidate{Host: a.Host, DataCentre: a.DataCentre, State: a.State.String(), Limit: float64(a.Slots), Reason: reason + " (" + a.State.String() + ")"}
		v := versionOf(part, a.Version)
		v.Candidates = append(v.Candidates, c)
	}
}

// versionOf returns a version of the part and adds it if there is none.
func versionOf(part *explain.Part, version model.ServiceVersion) *explain.Version {
	for i := range part.Versions {
		if part.Versions[i].Version == version {
			return &part.Versions[i]
		}
	}
	part.Versions = append(part.Versions, explain.Version{Version: version, Reason: "no share"})
	return &part.Versions[len(part.Versions)-1]
}

// budgets returns the budgets that apply to a call of a service and version.
func (x *explainer) budgets(r *http.Request, route note.Route, service model.ServiceName, version model.ServiceVersion, snapshot *routing.Picker) *explain.Budgets {
	d := x.entry.dispatcher
	c := newCall(r, route, nil)
	state := d.hedger.State(route.Name)
	out := &explain.Budgets{
		CallRetries: c.budget.Left(), RetryTokens: d.retries.Tokens(), RetryBurst: d.retries.Burst(),
		Hedging: explain.Hedging{
			Limit: state.Limit, Tokens: state.Tokens, Burst: state.Burst, AfterMs: inMilliseconds(state.Tail), AfterSlowMs: inMilliseconds(state.Usual),
		},
		Requests: x.entry.inProgress.Load(), RequestLimit: x.requestLimit,
	}
	load, versions := snapshot.HedgeLoad(service, version)
	switch {
	case state.Limit == 0:
		out.Hedging.Skip = "off by the settings"
	case !d.hedger.Applies(route):
		out.Hedging.Skip = "not allowed by the route"
	case state.Tail == 0:
		out.Hedging.Skip = "latency of the route not known yet"
	default:
		out.Hedging.Skip = string(d.hedger.WouldSkip(hedging.Call{
			Route: route.Name, Remaining: callTimeout(r, route, 0) - state.Tail, CallBudget: c.budget.Left(), Load: load, Versions: versions,
		}))
	}
	return out
}
