package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"time"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/standin"
)

// requestTimeout bounds one request to a node or a control host.
const requestTimeout = 2 * time.Second

// statusCode sends a GET request and returns the status code of the answer.
func statusCode(url string) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	_, err = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode, err
}

// childStatus is the part of a node's status that demo.NodeStatus omits.
type childStatus struct {
	Children int `json:"children"`
}

// childCount returns the number of nodes that receive their configuration from the node.
func childCount(s *demo.BackendServer) (int, error) {
	ctx, cancel := context.WithTimeout(context.Background(), requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, s.AdminURL+"/status", nil)
	if err != nil {
		return 0, err
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return 0, err
	}
	defer resp.Body.Close()
	var c childStatus
	return c.Children, json.NewDecoder(resp.Body).Decode(&c)
}

// sendWrite sends one write with a new idempotency key through an entry node and returns
// an error unless it is answered with status 200.
func sendWrite(e *env, entry string) error {
	ctx, cancel := context.WithTimeout(e.ctx, requestTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, entry+"/restocks", strings.NewReader("restock"))
	if err != nil {
		return err
	}
	key := strconv.FormatInt(time.Now().Unix(), 10) + "-probe" + strconv.FormatUint(rand.Uint64(), 36)
	req.Header.Set(standin.HeaderIdempotencyKey, key)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err == nil && resp.StatusCode != http.StatusOK {
		err = fmt.Errorf("write: status %d: %s", resp.StatusCode, b)
	}
	return err
}
