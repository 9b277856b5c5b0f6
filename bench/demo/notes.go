package demo

// FirstNote is the release note that adds the services and routes of the Aare
// cooperative and moves both services to v1.
const FirstNote = `{
  "number": 1,
  "title": "cabinet ledger and roster desk",
  "services": {"added": [
    {"name": "ledger", "slots": 20, "connections": 100, "queue_limit": 40, "queue_timeout": "500ms"},
    {"name": "roster", "slots": 20, "connections": 100, "queue_limit": 40, "queue_timeout": "500ms"}
  ]},
  "routes": {"added": [
    {"name": "cabinet-status", "path_prefix": "/cabinets", "methods": ["GET"], "service": "ledger", "kind": "lookup",
     "timeout": "1s", "max_retries": 2, "hedge": true},
    {"name": "nested", "path_prefix": "/nested", "methods": ["GET"], "service": "ledger", "kind": "lookup",
     "timeout": "2s", "max_retries": 2, "hedge": false},
    {"name": "restock", "path_prefix": "/restocks", "methods": ["POST"], "service": "ledger", "kind": "write",
     "timeout": "2s", "max_retries": 2, "hedge": false},
    {"name": "urgent", "path_prefix": "/urgent", "methods": ["GET"], "service": "ledger", "kind": "urgent",
     "timeout": "500ms", "max_retries": 2, "hedge": false},
    {"name": "rosters", "path_prefix": "/rosters", "methods": ["GET"], "service": "roster", "kind": "lookup",
     "timeout": "1s", "max_retries": 2, "hedge": false}
  ]},
  "moves": [
    {"service": "ledger", "to": "v1", "by": "2030-01-01T00:00:00Z", "watch_for": "10s"},
    {"service": "roster", "to": "v1", "by": "2030-01-01T00:00:00Z", "watch_for": "10s"}
  ]
}`

// moveNote is the format of a release note that moves one service. Its arguments
// are the note's number and title, the service, its new version and the deadline.
const moveNote = `{
  "number": %d,
  "title": %q,
  "moves": [{"service": %q, "to": %q, "by": %q, "watch_for": "10s"}]
}`
