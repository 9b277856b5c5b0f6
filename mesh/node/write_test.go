package node

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"testing/iotest"
	"time"

	"balsamtrail.org/mesh/callmux"
	"balsamtrail.org/mesh/claim"
	"balsamtrail.org/mesh/model"
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

// answeredClaims keeps the digest and the answer of one key.
type answeredClaims struct {
	digest claim.Digest
	answer *claim.Answer
}

func (c *answeredClaims) Claim(_ context.Context, key string, d claim.Digest, _ model.RouteName, lifetime time.Duration) (claim.Grant, error) {
	switch {
	case c.answer == nil:
		c.digest = d
		return claim.Grant{Key: key, Deadline: time.Now().Add(lifetime)}, nil
	case d != c.digest:
		return claim.Grant{}, claim.ErrBodyMismatch
	}
	return claim.Grant{}, &claim.AnsweredError{Answer: *c.answer}
}

func (c *answeredClaims) Complete(_ context.Context, _ claim.Grant, a claim.Answer) error {
	c.answer = &a
	return nil
}

func (c *answeredClaims) Release(context.Context, claim.Grant, string) error { return nil }

// Guards against a long write that runs a second time, or whose answer is given to a request
// with another body, although only the start of the body is kept when its key is claimed.
func TestLongWriteRunsOnceAndOnlyForItsBody(t *testing.T) {
	whole := pattern(maxKeptBodyBytes * 4)
	otherStart, otherEnd, shorter := bytes.Clone(whole), bytes.Clone(whole), whole[:len(whole)-1]
	otherStart[0]++
	otherEnd[len(otherEnd)-1]++
	ran := 0
	e := newTestEntry(t, scriptedSender(func(_ context.Context, _ string, req *callmux.Request) (*callmux.Response, error) {
		ran++
		got, err := io.ReadAll(req.Body)
		if err != nil || !bytes.Equal(got, whole) {
			t.Errorf("the backend server got %d of %d bytes, %v", len(got), len(whole), err)
		}
		return answer("recorded"), nil
	}), &answeredClaims{})
	e.bodyLimit = 1 << 30
	for _, c := range []struct {
		name    string
		body    io.Reader
		status  int
		outcome string
	}{
		{"first", bytes.NewReader(whole), http.StatusOK, ""},
		{"again", bytes.NewReader(whole), http.StatusOK, outcomeAnswered},
		{"again in chunks", io.MultiReader(bytes.NewReader(whole)), http.StatusOK, outcomeAnswered},
		{"another start", bytes.NewReader(otherStart), http.StatusUnprocessableEntity, outcomeMismatch},
		{"another end", bytes.NewReader(otherEnd), http.StatusUnprocessableEntity, outcomeMismatch},
		{"shorter", bytes.NewReader(shorter), http.StatusUnprocessableEntity, outcomeMismatch},
		{"broken off", io.MultiReader(bytes.NewReader(shorter), iotest.ErrReader(io.ErrUnexpectedEOF)), http.StatusBadRequest, outcomeAnswered},
	} {
		r := httptest.NewRequest(http.MethodPost, "/restocks", c.body)
		r.Header.Set(HeaderIdempotencyKey, "1-abcdefgh")
		w := httptest.NewRecorder()
		e.ServeHTTP(w, r)
		e.background.Wait()
		if w.Code != c.status || w.Header().Get(HeaderOutcome) != c.outcome || c.status == http.StatusOK && w.Body.String() != "recorded" {
			t.Errorf("%s: status %d, outcome %q, body %q", c.name, w.Code, w.Header().Get(HeaderOutcome), w.Body)
		}
	}
	if ran != 1 {
		t.Errorf("ran %d times", ran)
	}
}
