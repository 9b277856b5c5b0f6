package main

import (
	"context"
	"errors"
	"time"

	"github.com/alecthomas/kong"
	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/explain"
)

type explainCmd struct {
	Node   string `required:"" help:"Administration address of the node." placeholder:"HOST:PORT"`
	Method string `default:"GET" help:"Method of the request; default ${default}."`
	Host   string `help:"Host of the request." placeholder:"NAME"`
	Path   string `required:"" help:"Path of the request, with its query." placeholder:"PATH"`
	JSON   bool   `name:"json" help:"The same as --output json."`
}

// Help implements kong.HelpProvider.
func (explainCmd) Help() string {
	return `Shows where a node would send a request now and why: route, part of a traffic split, version, backend servers with
their load and expected time, budgets, and what would be refused with which status. No request is sent. It needs no
token. --timeout is the time that the caller of the request would state; without it none is stated.

Example:
  balsamtrail explain --node 127.0.0.1:8014 --path /cabinets/7 --timeout 800ms`
}

// askTimeout bounds the exchange with the node.
const askTimeout = 10 * time.Second

// Run asks the node and prints its explanation.
func (c *explainCmd) Run(ctx context.Context, e *env, k *kong.Context) error {
	r := explain.Request{Method: c.Method, Host: c.Host, Path: c.Path}
	if isGiven(k, "timeout") {
		if e.Timeout < time.Millisecond {
			return eris.Wrapf(errUsage, "--timeout: %s, want at least 1ms", e.Timeout)
		}
		r.TimeoutMs = e.Timeout.Milliseconds()
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	x, err := explain.Ask(ctx, c.Node, r)
	var field *explain.FieldError
	switch {
	case errors.As(err, &field):
		return eris.Wrapf(errUsage, "--%s: %s", field.Field, field.Message)
	case err != nil:
		return eris.Wrapf(err, "--node %s", c.Node)
	}
	if c.JSON || e.Output == "json" {
		e.Output = "json"
		return e.print(x, nil)
	}
	return x.WriteTable(e.stdout)
}

// isGiven reports whether the command line has a flag.
func isGiven(k *kong.Context, name string) bool {
	for _, p := range k.Path {
		if p.Flag != nil && p.Flag.Name == name {
			return true
		}
	}
	return false
}
