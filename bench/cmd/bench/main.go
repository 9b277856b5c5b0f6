// Command bench runs stand-in backend servers, load and experiments against
// balsamtrail. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/alecthomas/kong"

	"balsamtrail.org/bench/demo"
	"balsamtrail.org/bench/standin"
)

type cli struct {
	Backend  backendCmd  `cmd:"" help:"Run a stand-in backend server."`
	Demo     demoCmd     `cmd:"" help:"Run the system on loopback under load and failures and write a table."`
	Capacity capacityCmd `cmd:"" help:"Measure what each role costs against its size."`
}

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
}

// Run serves until a signal ends it.
func (c *backendCmd) Run(ctx context.Context) error {
	bad, err := standin.ParseBadness(c.Bad)
	if err != nil {
		return err
	}
	cfg := standin.DefaultConfig()
	cfg.Listen, cfg.Service, cfg.Version, cfg.Host, cfg.Outgoing = c.Listen, c.Service, c.Version, c.Host, c.Outgoing
	cfg.Slots, cfg.Latency, cfg.Bad, cfg.BadShare, cfg.BadAfter, cfg.BadRoute = c.Slots, c.Latency, bad, c.BadShare, c.BadAfter, c.BadRoute
	if c.Warm {
		cfg.WarmAfter = 0
	}
	return standin.New(cfg).Run(ctx)
}

type demoCmd struct {
	Bin string `default:"bin" type:"path" help:"Folder of the programs."`
	Dir string `type:"path" help:"Folder of settings, data and logs; a temporary one by default, removed after a good run."`
}

// Run runs the demo; an error means that an invariant broke or a step failed.
func (c *demoCmd) Run(ctx context.Context) error {
	dir := c.Dir
	if dir == "" {
		tmp, err := os.MkdirTemp("", "balsamtrail-demo-")
		if err != nil {
			return err
		}
		dir = tmp
	} else if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	err := demo.Run(ctx, demo.Options{Bin: c.Bin, Dir: dir, Out: os.Stdout})
	if err == nil && c.Dir == "" {
		return os.RemoveAll(dir)
	}
	return err
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("bench"), kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "bench:", err)
		stop()
		os.Exit(1)
	}
}
