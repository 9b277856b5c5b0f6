package node

import (
	"context"
	"errors"
	"io"
	"net/http"
	"strings"
	"testing"
	"testing/iotest"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/claim"
)

// Guards against a large answer of a write that reaches the caller or the record only in
// part, and against one that broke off and is recorded as complete.
func TestLargeAnswersOfWritesAreWhole(t *testing.T) {
	whole := strings.Repeat("crate ", claim.MaxBodyBytes)
	for name, c := range map[string]struct {
		body      io.Reader
		completed int
	}{
		"whole":     {strings.NewReader(whole), 1},
		"broke off": {io.MultiReader(strings.NewReader(whole), iotest.ErrReader(errors.New("reset"))), 0},
	} {
		claims := &recordingClaims{}
		e := newTestEntry(t, scriptedSender(func(context.Context, string, *callmux.Request) (*callmux.Response, error) {
			return &callmux.Response{Status: http.StatusOK, Header: map[string][]string{}, Limit: 20, Body: io.NopCloser(c.body)}, nil
		}), claims)
		aborted := true
		func() {
			defer func() { _ = recover() }()
			if w := restock(e); w.Code != http.StatusOK || w.Body.String() != whole {
				t.Errorf("%s: status %d, %d bytes", name, w.Code, w.Body.Len())
			}
			aborted = false
		}()
		e.background.Wait()
		if aborted != (c.completed == 0) || claims.completed != c.completed {
			t.Errorf("%s: aborted %v, %d answers recorded", name, aborted, claims.completed)
		}
	}
}
