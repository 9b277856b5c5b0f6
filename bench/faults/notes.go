package faults

import (
	"fmt"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/mesh/model"
)

// firstNote adds two services and their routes. Route "old" exists until withdrawNote
// withdraws it.
const firstNote = `{
  "number": 1,
  "title": "cabinet ledger and roster desk",
  "services": {"added": [
    {"name": "ledger", "slots": 20, "connections": 100, "queue_limit": 40, "queue_timeout": "500ms"},
    {"name": "roster", "slots": 20, "connections": 100, "queue_limit": 40, "queue_timeout": "500ms"}
  ]},
  "routes": {"added": [
    {"name": "cabinet-status", "path_prefix": "/cabinets", "methods": ["GET"], "service": "ledger", "kind": "lookup",
     "timeout": "1s", "max_retries": 2, "hedge": true},
    {"name": "restock", "path_prefix": "/restocks", "methods": ["POST"], "service": "ledger", "kind": "write",
     "timeout": "2s", "max_retries": 2, "hedge": false},
    {"name": "urgent", "path_prefix": "/urgent", "methods": ["GET"], "service": "ledger", "kind": "urgent",
     "timeout": "500ms", "max_retries": 2, "hedge": false},
    {"name": "rosters", "path_prefix": "/rosters", "methods": ["GET"], "service": "roster", "kind": "lookup",
     "timeout": "1s", "max_retries": 2, "hedge": false},
    {"name": "old", "path_prefix": "/old", "methods": ["GET"], "service": "ledger", "kind": "lookup",
     "timeout": "1s", "max_retries": 2, "hedge": false}
  ]},
  "moves": [
    {"service": "ledger", "to": "v1", "by": "2030-01-01T00:00:00Z", "watch_for": "10s"},
    {"service": "roster", "to": "v1", "by": "2030-01-01T00:00:00Z", "watch_for": "10s"}
  ]
}`

// withdrawNote is note 2, which withdraws route "old".
const withdrawNote = `{"number": 2, "title": "old withdrawn", "routes": {"withdrawn": ["old"]}}`

// smallNote returns a note that changes only the timeout of one route. Notes with
// different numbers set different timeouts.
func smallNote(number int, title string) string {
	return fmt.Sprintf(`{"number": %d, "title": %q, "routes": {"changed": [
    {"name": "rosters", "path_prefix": "/rosters", "methods": ["GET"], "service": "roster", "kind": "lookup",
     "timeout": "%dms", "max_retries": 2, "hedge": false}]}}`, number, title, 1000+number)
}

// moveNote returns a note that moves the ledger to version v2.
func moveNote(number int, by time.Time) string {
	return fmt.Sprintf(`{"number": %d, "title": "ledger to version 2",
  "moves": [{"service": "ledger", "to": "v2", "by": %q, "watch_for": "5s"}]}`, number, by.UTC().Format(time.RFC3339))
}

// The data centres of the backend servers, one element for each server.
var (
	ledgerDataCentres = []model.DataCentre{"thun", "thun", "thun", "bern-altstadt", "bern-altstadt", "burgdorf", "burgdorf"}
	allDataCentres    = []model.DataCentre{"thun", "bern-altstadt", "burgdorf"}
)

// entryNodes returns the nodes that receive requests from callers in the scenarios,
// which are the nodes of the roster service, and all other nodes.
func (e *env) entryNodes() (entries, others []*demo.BackendServer) {
	for _, s := range e.Servers {
		if s.Service == "roster" {
			entries = append(entries, s)
		} else {
			others = append(others, s)
		}
	}
	return entries, others
}
