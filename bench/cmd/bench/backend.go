package main

import (
	"context"
	"time"

	"balsamtrail.org/bench/experiment"
	"balsamtrail.org/bench/standin"
)

type backendCmd struct {
	Listen   string        `required:"" help:"Address to serve HTTP on, as host:port."`
	Service  string        `required:"" help:"Name of the service."`
	Version  string        `required:"" help:"Name of the version."`
	Host     string        `help:"Host name in the answers."`
	Outgoing string        `help:"Base URL of the node of this server, for nested calls."`
	Slots    int           `default:"20" help:"Maximum number of concurrent requests."`
	Latency  time.Duration `default:"5ms" help:"Duration of one request."`
	Bad      string        `help:"Misbehaviour: at-once, later, under-load, one-route or slow."`
	BadShare int           `default:"100" help:"Percentage of requests that the misbehaviour affects."`
	BadAfter time.Duration `default:"10s" help:"With later, time from the start until requests fail."`
	BadRoute string        `help:"With one-route, path prefix of the requests that fail."`
	Warm     bool          `help:"Start without a cold start."`
	Runs     string        `type:"path" help:"File to which the idempotency key of each run is appended."`
}

// Run serves until a signal ends the process.
func (c *backendCmd) Run(ctx context.Context) error {
	misbehaviour, err := standin.ParseMisbehaviour(c.Bad)
	if err != nil {
		return err
	}
	cfg := standin.DefaultConfig()
	cfg.Listen, cfg.Service, cfg.Version, cfg.Host, cfg.Outgoing = c.Listen, c.Service, c.Version, c.Host, c.Outgoing
	cfg.Slots, cfg.Latency, cfg.Bad, cfg.BadShare, cfg.BadAfter, cfg.BadRoute = c.Slots, c.Latency, misbehaviour, c.BadShare, c.BadAfter, c.BadRoute
	if c.Warm {
		cfg.WarmAfter = 0
	}
	if c.Runs == "" {
		return standin.New(cfg).Run(ctx)
	}
	return experiment.ServeRecorded(ctx, cfg, c.Runs)
}
