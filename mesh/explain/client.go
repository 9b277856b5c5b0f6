package explain

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/url"
)

// ErrNode is returned if the node does not give an explanation.
var ErrNode = errors.New("no explanation")

// maxExplanationBytes is the largest size of an explanation that a client reads.
const maxExplanationBytes = 16 << 20

// Path is the path of explanations at a node's administration address.
const Path = "/explain"

// Ask asks the node with the given administration address. Its errors do not repeat the
// address.
func Ask(ctx context.Context, address string, r Request) (Explanation, error) {
	var x Explanation
	if err := CheckAddress(address); err != nil {
		return x, err
	}
	if err := r.Check(); err != nil {
		return x, err
	}
	u := url.URL{Scheme: "http", Host: address, Path: Path, RawQuery: r.Values().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, u.String(), nil)
	if err != nil {
		return x, invalid("node", "%q is not host:port", address)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return x, fmt.Errorf("%w: %w", ErrNode, errors.Unwrap(err))
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxExplanationBytes))
	if err != nil {
		return x, fmt.Errorf("%w: %w", ErrNode, err)
	}
	if resp.StatusCode == http.StatusBadRequest {
		var f FieldError
		if json.Unmarshal(body, &f) == nil && f.Field != "" {
			return x, &f
		}
	}
	if resp.StatusCode != http.StatusOK {
		return x, fmt.Errorf("%w: the answer is %s", ErrNode, resp.Status)
	}
	if err := json.Unmarshal(body, &x); err != nil || x.Node == "" {
		return x, fmt.Errorf("%w in the answer: is it the administration address of a node?", ErrNode)
	}
	return x, nil
}
