package main

import (
	"fmt"
	"os"

	"balsamtrail.org/bench/experiment"
)

type experimentCmd struct {
	Latency    latencyCmd    `cmd:"" help:"Added latency and calls per core against direct calls and the baseline."`
	Overload   overloadCmd   `cmd:"" help:"Goodput by kind at 1, 2 and 4 times the capacity of the backend servers."`
	Datacentre datacentreCmd `cmd:"" help:"A data centre taken out and returned under load."`
	Nested     nestedCmd     `cmd:"" help:"Calls of 25 levels with dead and failing backend servers."`
	Faults     faultsCmd     `cmd:"" help:"Lookups and writes under random faults; every answer and run is checked."`
}

// experimentFlags are common to all experiments.
type experimentFlags struct {
	Bin  string `default:"bin" type:"path" help:"Folder of the programs."`
	Dir  string `type:"path" help:"Folder of settings, data and logs; a temporary one by default, removed after a good run."`
	Size string `default:"aare" enum:"aare,sfax" help:"Fleet: aare or sfax."`
	JSON string `name:"json" type:"path" help:"File for the figures."`
}

type latencyCmd struct{ experimentFlags }

// Run runs the experiment.
func (c *latencyCmd) Run() error { return c.run(0, experiment.Latency) }

type overloadCmd struct{ experimentFlags }

// Run runs the experiment.
func (c *overloadCmd) Run() error { return c.run(0, experiment.Overload) }

type datacentreCmd struct{ experimentFlags }

// Run runs the experiment.
func (c *datacentreCmd) Run() error { return c.run(0, experiment.DataCentre) }

type nestedCmd struct{ experimentFlags }

// Run runs the experiment.
func (c *nestedCmd) Run() error { return c.run(0, experiment.Nested) }

type faultsCmd struct {
	experimentFlags
	Seed uint64 `default:"1" help:"Seed of the faults."`
}

// Run runs the experiment.
func (c *faultsCmd) Run() error { return c.run(c.Seed, experiment.Faults) }

// run runs an experiment and writes its figures, also those of a failed run.
func (f *experimentFlags) run(seed uint64, e func(experiment.Options) (experiment.Result, error)) error {
	size, err := experiment.SizeOf(f.Size)
	if err != nil {
		return err
	}
	dir, err := f.folder()
	if err != nil {
		return err
	}
	res, err := e(experiment.Options{Bin: f.Bin, Dir: dir, Out: os.Stdout, Size: size, Seed: seed})
	if res != nil {
		if werr := f.write(res); werr != nil {
			return werr
		}
	}
	if err != nil {
		return fmt.Errorf("%w (logs in %s)", err, dir)
	}
	if f.Dir == "" {
		return os.RemoveAll(dir)
	}
	return nil
}

func (f *experimentFlags) folder() (string, error) {
	if f.Dir == "" {
		return os.MkdirTemp("", "balsamtrail-experiment-")
	}
	return f.Dir, os.MkdirAll(f.Dir, 0o755)
}

func (f *experimentFlags) write(res experiment.Result) error {
	if err := res.WriteTable(os.Stdout); err != nil {
		return err
	}
	if f.JSON == "" {
		return nil
	}
	return experiment.WriteJSON(f.JSON, res)
}
