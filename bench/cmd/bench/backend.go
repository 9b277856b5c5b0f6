package main

import (
	"context"
	"time"

	"balsamtrail.org/bench/experiment"
	"balsamtrail.org/bench/standin"
)

type backendCmd struct {
	Listen   string        `required:"" help:"HTTP address."`
	Service  string        `required:"" help:"Service name."`
	Version  string        `required:"" help:"Version name."`
	Host     string        `help:"Name in the answers."`
	Outgoing string        `help:"Base URL of the own node for nested calls."`
	Slots    int           `default:"20" help:"Requests that run at a time."`
	Latency  time.Duration `default:"5ms" help:"Time of one request."`
	Bad      string        `help:"at-once, later, under-load, one-route or slow."`
	BadShare int           `default:"100" help:"Requests of 100 that are hit."`
	BadAfter time.Duration `default:"10s" help:"Delay of later."`
	BadRoute string        `help:"Path prefix of one-route."`
	Warm     bool          `help:"Start warm."`
	Runs     string        `type:"path" help:"File that the keys of all runs are appended to."`
}

// Run serves until a signal ends it.
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
