package operator

import (
	"context"
	"crypto/rand"
	"fmt"
	"net/http"
	"net/url"
	"strconv"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
)

// NewOperationID returns a random id for one write. Every retry of the write
// carries the same id.
func NewOperationID() model.OperationID { return model.OperationID(rand.Text()) }

// Publish publishes a release note.
func (c *Client) Publish(ctx context.Context, op model.OperationID, n note.Note) (note.Result, error) {
	return do[note.Result](ctx, c, apiCall{method: http.MethodPost, path: "/v1/notes", operation: op, body: n})
}

// Amend replaces a note if its current revision is the expected one.
func (c *Client) Amend(ctx context.Context, op model.OperationID, n note.Note, expected uint64) (note.Result, error) {
	return do[note.Result](ctx, c, apiCall{
		method: http.MethodPut, path: notePath(n.Number), operation: op, revision: expected, body: n,
	})
}

// Withdraw withdraws a note if its current revision is the expected one.
func (c *Client) Withdraw(ctx context.Context, op model.OperationID, number, expected uint64) (note.Result, error) {
	return do[note.Result](ctx, c, apiCall{
		method: http.MethodDelete, path: notePath(number), operation: op, revision: expected,
	})
}

// TakeOut takes a data centre out of service.
func (c *Client) TakeOut(ctx context.Context, op model.OperationID, dc model.DataCentre) (note.Result, error) {
	return do[note.Result](ctx, c, apiCall{
		method: http.MethodPost, path: "/v1/data-centres/" + url.PathEscape(string(dc)) + "/out", operation: op,
	})
}

// Return starts the return of a data centre to service.
func (c *Client) Return(ctx context.Context, op model.OperationID, dc model.DataCentre) (note.Result, error) {
	return do[note.Result](ctx, c, apiCall{
		method: http.MethodPost, path: "/v1/data-centres/" + url.PathEscape(string(dc)) + "/return", operation: op,
	})
}

// AddControlHost adds a control host to the control group.
func (c *Client) AddControlHost(ctx context.Context, op model.OperationID, h ControlHostChange) error {
	_, err := do[ControlHostChange](ctx, c, apiCall{
		method: http.MethodPost, path: "/v1/control-hosts", operation: op, body: h,
	})
	return err
}

// RemoveControlHost removes a control host from the control group.
func (c *Client) RemoveControlHost(ctx context.Context, op model.OperationID, host model.HostID) error {
	_, err := do[ControlHostChange](ctx, c, apiCall{
		method: http.MethodDelete, path: "/v1/control-hosts/" + url.PathEscape(string(host)), operation: op,
	})
	return err
}

// Notes lists at most limit notes with numbers up to and including before,
// newest first. If before is 0, it starts at the newest note.
func (c *Client) Notes(ctx context.Context, before uint64, limit int) (NotesAnswer, error) {
	return read[NotesAnswer](ctx, c, fmt.Sprintf("/v1/notes?before=%d&limit=%d", before, limit))
}

// Note returns one note.
func (c *Client) Note(ctx context.Context, number uint64) (NoteAnswer, error) {
	return read[NoteAnswer](ctx, c, notePath(number))
}

// Moves lists the newest move of each service.
func (c *Client) Moves(ctx context.Context) (MovesAnswer, error) {
	return read[MovesAnswer](ctx, c, "/v1/moves")
}

// Move returns the newest move of a service.
func (c *Client) Move(ctx context.Context, service model.ServiceName) (MoveAnswer, error) {
	return read[MoveAnswer](ctx, c, "/v1/moves/"+url.PathEscape(string(service)))
}

// WatchMove waits until the move's sequence differs from seen and returns the
// move. When the server ends the long poll first, it returns the unchanged move.
func (c *Client) WatchMove(ctx context.Context, service model.ServiceName, seen uint64) (MoveAnswer, error) {
	path := fmt.Sprintf("/v1/moves/%s?watch=1&seen=%d", url.PathEscape(string(service)), seen)
	return do[MoveAnswer](ctx, c, apiCall{method: http.MethodGet, path: path, longPoll: true})
}

// DataCentres lists the data centres.
func (c *Client) DataCentres(ctx context.Context) (DataCentresAnswer, error) {
	return read[DataCentresAnswer](ctx, c, "/v1/data-centres")
}

// ControlHosts lists the control hosts.
func (c *Client) ControlHosts(ctx context.Context) (ControlHostsAnswer, error) {
	return read[ControlHostsAnswer](ctx, c, "/v1/control-hosts")
}

// Audit lists at most limit audit records with sequence numbers greater than
// after, oldest first.
func (c *Client) Audit(ctx context.Context, after uint64, limit int) (AuditAnswer, error) {
	return read[AuditAnswer](ctx, c, fmt.Sprintf("/v1/audit?after=%d&limit=%d", after, limit))
}

// Status returns a summary of the mesh.
func (c *Client) Status(ctx context.Context) (StatusAnswer, error) {
	return read[StatusAnswer](ctx, c, "/v1/status")
}

// Nodes lists the nodes of a service, or all nodes if service is empty.
func (c *Client) Nodes(ctx context.Context, service model.ServiceName) (NodesAnswer, error) {
	return read[NodesAnswer](ctx, c, "/v1/nodes?service="+url.QueryEscape(string(service)))
}

// Config returns the configuration in force.
func (c *Client) Config(ctx context.Context) (ConfigAnswer, error) {
	return read[ConfigAnswer](ctx, c, "/v1/config")
}

func notePath(number uint64) string { return "/v1/notes/" + strconv.FormatUint(number, 10) }

func read[T any](ctx context.Context, c *Client, path string) (T, error) {
	return do[T](ctx, c, apiCall{method: http.MethodGet, path: path})
}
