package main

import (
	"context"

	"balsamtrail.org/bench/experiment"
)

type proxyCmd struct {
	Listen string `required:"" help:"HTTP address."`
}

// Run serves as the naive baseline until a signal ends it.
func (c *proxyCmd) Run(ctx context.Context) error { return experiment.NewProxy().Run(ctx, c.Listen) }
