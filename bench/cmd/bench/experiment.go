package main

import (
	"fmt"
	"os"

	"balsamtrail.org/bench/experiment"
)

type experimentCmd struct {
	Latency    latencyCmd    `cmd:"" help:"Added latency and calls per core against direct calls and the baseline."`
	Overload   overloadCmd   `cmd:"" help:"Goodput by request kind at 1, 2 and 4 times the capacity of the backend servers."`
	Datacentre datacentreCmd `cmd:"" help:"A data centre taken out of service and returned under load."`
	Nested     nestedCmd     `cmd:"" help:"Nested calls of 25 levels with dead and failing backend servers."`
	Bodies     bodiesCmd     `cmd:"" help:"Large bodies with slow ends: time, memory, and small requests beside them."`
	Faults     faultsCmd     `cmd:"" help:"Lookups and writes under random faults; every answer and run is checked."`
}

// experimentFlags holds the flags that all experiments have.
type experimentFlags struct {
	Bin  string `default:"bin" type:"path" help:"Folder of the programs."`
	Dir  string `type:"path" help:"Folder of settings, data and logs; a temporary one by default, removed after a successful run."`
	Size string `default:"aare" enum:"aare,sfax" help:"Size of the fleet: aare or sfax."`
	JSON string `name:"json" type:"path" help:"File to write the results to, as JSON."`
}

type latencyCmd struct{ experimentFlags }

// Run measures the added latency and the calls per core.
func (c *latencyCmd) Run() error { return c.run(0, experiment.Latency) }

type overloadCmd struct{ experimentFlags }

// Run measures the goodput under overload.
func (c *overloadCmd) Run() error { return c.run(0, experiment.Overload) }

type datacentreCmd struct{ experimentFlags }

// Run takes a data centre out of service and returns it, under load.
func (c *datacentreCmd) Run() error { return c.run(0, experiment.DataCentre) }

type nestedCmd struct{ experimentFlags }

// Run measures nested calls with dead and failing backend servers.
func (c *nestedCmd) Run() error { return c.run(0, experiment.Nested) }

type bodiesCmd struct{ experimentFlags }

// Run measures large bodies.
func (c *bodiesCmd) Run() error { return c.run(0, experiment.Bodies) }

type faultsCmd struct {
	experimentFlags
	Seed uint64 `default:"1" help:"Seed of the faults."`
}

// Run checks the answers and runs of requests under random faults.
func (c *faultsCmd) Run() error { return c.run(c.Seed, experiment.Faults) }

// run runs an experiment and writes its results, also those of a failed run. Only a
// temporary folder of a successful run is removed.
func (f *experimentFlags) run(seed uint64, e func(experiment.Options) (experiment.Result, error)) error {
	size, err := experiment.SizeOf(f.Size)
	if err != nil {
		return err
	}
	dir, err := f.makeDir()
	if err != nil {
		return err
	}
	res, err := e(experiment.Options{Bin: f.Bin, Dir: dir, Out: os.Stdout, Size: size, Seed: seed})
	if res != nil {
		if writeErr := f.writeResult(res); writeErr != nil {
			return writeErr
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

// makeDir creates the folder of the run, a temporary one unless Dir is set.
func (f *experimentFlags) makeDir() (string, error) {
	if f.Dir == "" {
		return os.MkdirTemp("", "balsamtrail-experiment-")
	}
	return f.Dir, os.MkdirAll(f.Dir, 0o755)
}

// writeResult writes the table and, if JSON is set, the JSON file.
func (f *experimentFlags) writeResult(res experiment.Result) error {
	if err := res.WriteTable(os.Stdout); err != nil {
		return err
	}
	if f.JSON == "" {
		return nil
	}
	return experiment.WriteJSON(f.JSON, res)
}
