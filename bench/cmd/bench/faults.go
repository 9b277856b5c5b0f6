package main

import (
	"context"
	"os"

	"balsamtrail.org/bench/faults"
)

type scenariosCmd struct {
	Names []string `arg:"" optional:"" help:"Scenarios to run; all by default."`
	Bin   string   `default:"bin" type:"path" help:"Folder of the programs."`
	Dir   string   `type:"path" help:"Folder of settings, data and logs; a temporary one by default, removed after a successful run."`
	Keep  bool     `help:"Keep the folders of scenarios that passed."`
}

// Run runs the failure scenarios. It returns an error if one of them failed.
func (c *scenariosCmd) Run(ctx context.Context) error {
	dir := c.Dir
	if dir == "" {
		tmp, err := os.MkdirTemp("", "balsamtrail-faults-")
		if err != nil {
			return err
		}
		dir = tmp
	}
	err := faults.Run(ctx, faults.Options{Bin: c.Bin, Dir: dir, Names: c.Names, Keep: c.Keep, Out: os.Stdout})
	if err == nil && c.Dir == "" && !c.Keep {
		return os.RemoveAll(dir)
	}
	return err
}
