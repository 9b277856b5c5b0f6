package operator

import (
	"context"
	"errors"
	"io"
	"maps"
	"net/http"
	"slices"
	"strconv"

	khttp "github.com/go-kratos/kratos/v2/transport/http"

	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/note/strictjson"
	"balsamtrail.org/mesh/telemetry"
)

// The request headers of the interface.
const (
	// HeaderOperation carries the operation id of a write.
	HeaderOperation = "Operation-Id"
	// HeaderRevision carries the expected revision of the note that a write changes.
	HeaderRevision = "If-Match"
)

// The number of entries in one page of a list.
const (
	// defaultPageSize is the number of entries if the request sets no limit.
	defaultPageSize = 100
	// maxPageSize is the highest limit that a request may set, in entries.
	maxPageSize = 1_000
)

// request is one decoded request of an authenticated operator.
type request struct {
	khttp.Context
	ctx    context.Context
	caller Caller
}

// handler handles a request and returns the HTTP status and the body of the answer.
type handler func(r request) (status int, body any, err error)

func (s *Server) routes() {
	r := s.http.Route("/")
	r.GET("/healthz", s.health)
	s.http.Handle("/metrics", telemetry.MetricsHandler())
	r.GET("/v1/notes", s.withTimeout(s.notes))
	r.POST("/v1/notes", s.withTimeout(s.publish))
	r.GET("/v1/notes/{number}", s.withTimeout(s.note))
	r.PUT("/v1/notes/{number}", s.withTimeout(s.amend))
	r.DELETE("/v1/notes/{number}", s.withTimeout(s.withdraw))
	r.GET("/v1/moves", s.withTimeout(s.moves))
	r.GET("/v1/moves/{service}", s.handle(s.move))
	r.GET("/v1/data-centres", s.withTimeout(s.dataCentres))
	r.POST("/v1/data-centres/{name}/out", s.withTimeout(s.takeOutDataCentre))
	r.POST("/v1/data-centres/{name}/return", s.withTimeout(s.returnDataCentre))
	r.GET("/v1/control-hosts", s.withTimeout(s.controlHosts))
	r.POST("/v1/control-hosts", s.withTimeout(s.addControlHost))
	r.DELETE("/v1/control-hosts/{host}", s.withTimeout(s.removeControlHost))
	r.GET("/v1/audit", s.withTimeout(s.audit))
	r.GET("/v1/status", s.withTimeout(s.status))
	r.GET("/v1/nodes", s.withTimeout(s.nodes))
	r.GET("/v1/config", s.withTimeout(s.config))
}

// withTimeout is handle with the timeout for requests other than long polls.
func (s *Server) withTimeout(h handler) khttp.HandlerFunc {
	return s.handle(func(r request) (int, any, error) {
		ctx, cancel := context.WithTimeout(r.ctx, s.cfg.RequestTimeout)
		defer cancel()
		r.ctx = ctx
		return h(r)
	})
}

// handle authenticates the operator, calls h, logs writes and writes the answer.
func (s *Server) handle(h handler) khttp.HandlerFunc {
	return func(c khttp.Context) error {
		name, err := s.tokens.authenticate(c.Request())
		if err != nil {
			return err
		}
		r := request{Context: c, ctx: c.Request().Context(), caller: Caller{
			Operator: name, Operation: model.OperationID(c.Header().Get(HeaderOperation)),
		}}
		status, body, err := h(r)
		s.logWrite(r, err)
		if err != nil {
			return err
		}
		return writeJSON(c.Response(), status, body)
	}
}

func (s *Server) logWrite(r request, err error) {
	req := r.Request()
	if req.Method == http.MethodGet {
		return
	}
	outcome := "accepted"
	if err != nil {
		outcome = err.Error()
	}
	s.cfg.Log.Info("operator request", "operator", string(r.caller.Operator), "operation", string(r.caller.Operation),
		"method", req.Method, "path", req.URL.Path, "outcome", outcome)
}

func writeJSON(w http.ResponseWriter, status int, body any) error {
	raw, err := strictjson.Marshal(body)
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Cache-Control", "no-store")
	w.WriteHeader(status)
	_, _ = w.Write(append(raw, '\n'))
	return nil
}

func (s *Server) writeError(w http.ResponseWriter, r *http.Request, err error) {
	body := errorBody(err)
	status := statusOf(body.Code)
	switch status {
	case http.StatusServiceUnavailable:
		w.Header().Set("Retry-After", "1")
	case http.StatusUnauthorized:
		w.Header().Set("WWW-Authenticate", "Bearer")
		s.cfg.Log.Warn("operator request refused", "path", r.URL.Path, "remote", r.RemoteAddr, "reason", body.Message)
	case http.StatusInternalServerError:
		s.cfg.Log.Error("operator request failed", "path", r.URL.Path, "reason", body.Message)
	}
	_ = writeJSON(w, status, body)
}

func (s *Server) errorHandler(code ErrorCode, message string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		s.writeError(w, r, &Error{Code: code, Message: message})
	})
}

// health requires no token, because load balancers and process supervisors call it.
func (s *Server) health(c khttp.Context) error {
	if err := s.ready(); err != nil {
		return &Error{Code: CodeUnavailable, Message: err.Error()}
	}
	return writeJSON(c.Response(), http.StatusOK, struct {
		State string `json:"state"`
	}{"ok"})
}

func (r request) readBody() ([]byte, error) {
	data, err := io.ReadAll(r.Request().Body)
	var large *http.MaxBytesError
	switch {
	case errors.As(err, &large):
		return nil, &Error{Code: CodeTooLarge, Message: "the body has more than " + strconv.FormatInt(large.Limit, 10) + " bytes"}
	case err != nil:
		return nil, &Error{Code: CodeInvalid, Message: "body: " + err.Error()}
	}
	return data, nil
}

func (r request) noteNumber() (uint64, error) {
	n, err := strconv.ParseUint(r.Vars().Get("number"), 10, 64)
	if err != nil {
		return 0, &Error{Code: CodeInvalid, Field: "number", Message: "is not a note number"}
	}
	return n, nil
}

func (r request) expectedRevision() (uint64, error) {
	text := r.Header().Get(HeaderRevision)
	if text == "" {
		return 0, &Error{Code: CodePrecondition, Field: HeaderRevision, Message: "the expected revision is required"}
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		return 0, &Error{Code: CodeInvalid, Field: HeaderRevision, Message: "is not a revision number"}
	}
	return n, nil
}

func (r request) queryUint(name string, defaultValue, maxValue uint64) (uint64, error) {
	text := r.Query().Get(name)
	if text == "" {
		return defaultValue, nil
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil || n > maxValue {
		return 0, &Error{Code: CodeInvalid, Field: name, Message: "want a whole number up to " + strconv.FormatUint(maxValue, 10)}
	}
	return n, nil
}

func (s *Server) publish(r request) (int, any, error) {
	data, err := r.readBody()
	if err != nil {
		return 0, nil, err
	}
	n, err := note.ParseNote(data)
	if err != nil {
		return 0, nil, err
	}
	res, err := s.service.Publish(r.ctx, r.caller, n)
	return http.StatusCreated, res, err
}

func (s *Server) amend(r request) (int, any, error) {
	number, err := r.noteNumber()
	if err != nil {
		return 0, nil, err
	}
	expected, err := r.expectedRevision()
	if err != nil {
		return 0, nil, err
	}
	data, err := r.readBody()
	if err != nil {
		return 0, nil, err
	}
	n, err := note.ParseNote(data)
	if err != nil {
		return 0, nil, err
	}
	if n.Number != number {
		return 0, nil, &Error{Code: CodeInvalid, Field: "number", Message: "differs from the number in the path"}
	}
	res, err := s.service.Amend(r.ctx, r.caller, n, expected)
	return http.StatusOK, res, err
}

func (s *Server) withdraw(r request) (int, any, error) {
	number, err := r.noteNumber()
	if err != nil {
		return 0, nil, err
	}
	expected, err := r.expectedRevision()
	if err != nil {
		return 0, nil, err
	}
	res, err := s.service.Withdraw(r.ctx, r.caller, number, expected)
	return http.StatusOK, res, err
}

func (s *Server) takeOutDataCentre(r request) (int, any, error) {
	res, err := s.service.TakeOut(r.ctx, r.caller, model.DataCentre(r.Vars().Get("name")))
	return http.StatusOK, res, err
}

func (s *Server) returnDataCentre(r request) (int, any, error) {
	res, err := s.service.Return(r.ctx, r.caller, model.DataCentre(r.Vars().Get("name")))
	return http.StatusOK, res, err
}

func (s *Server) addControlHost(r request) (int, any, error) {
	data, err := r.readBody()
	if err != nil {
		return 0, nil, err
	}
	var h ControlHostChange
	if err := strictjson.Unmarshal(data, &h); err != nil {
		return 0, nil, jsonError(err)
	}
	return http.StatusOK, h, s.service.AddControlHost(r.ctx, r.caller, h)
}

func jsonError(err error) error {
	var f *strictjson.FieldError
	if errors.As(err, &f) {
		return &Error{Code: CodeInvalid, Field: f.Path, Message: f.Message}
	}
	return &Error{Code: CodeInvalid, Message: err.Error()}
}

func (s *Server) removeControlHost(r request) (int, any, error) {
	host := model.HostID(r.Vars().Get("host"))
	return http.StatusOK, ControlHostChange{Host: host}, s.service.RemoveControlHost(r.ctx, r.caller, host)
}

// configView converts a configuration to lists sorted by name.
func configView(c note.Config) ConfigView {
	var v ConfigView
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		v.Services = append(v.Services, c.Services[name])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		v.Routes = append(v.Routes, c.Routes[name])
	}
	for _, name := range slices.Sorted(maps.Keys(c.Shares)) {
		v.Shares = append(v.Shares, note.ServiceShares{Service: name, Shares: c.Shares[name]})
	}
	return v
}
