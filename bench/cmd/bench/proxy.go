package main

import (
	"context"

	"balsamtrail.org/bench/experiment"
)

type proxyCmd struct {
	Listen string `required:"" help:"Address to serve HTTP on, as host:port."`
}

// Run serves as the baseline proxy until a signal ends the process.
func (c *proxyCmd) Run(ctx context.Context) error { return experiment.NewProxy().Run(ctx, c.Listen) }
