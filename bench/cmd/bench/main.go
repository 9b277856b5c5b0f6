// Command bench runs stand-in backend servers, load, failure scenarios, experiments
// and capacity measurements against balsamtrail. It is not part of the product.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"balsamtrail.org/bench/demo"
)

type cli struct {
	Backend    backendCmd    `cmd:"" help:"Run a stand-in backend server."`
	Demo       demoCmd       `cmd:"" help:"Run the system on loopback under load and failures, and write tables of the results."`
	Faults     scenariosCmd  `cmd:"" help:"Run failure scenarios on loopback, each with its assertions."`
	Soak       soakCmd       `cmd:"" help:"Inject overlapping random faults, seed by seed, and check the guarantees of the system."`
	Proxy      proxyCmd      `cmd:"" help:"Run the naive baseline: a plain HTTP proxy."`
	Experiment experimentCmd `cmd:"" help:"Run an experiment with real processes and write a table of the results."`
	Capacity   capacityCmd   `cmd:"" help:"Measure the resource use of each role by size."`
}

type demoCmd struct {
	Bin string `default:"bin" type:"path" help:"Folder of the programs."`
	Dir string `type:"path" help:"Folder of settings, data and logs; a temporary one by default, removed after a successful run."`
}

// Run runs the demo. It returns an error if an invariant was violated or a step failed.
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
