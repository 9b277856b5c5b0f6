package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"strings"
	"time"

	"balsamtrail.org/bench/soak"
)

type soakCmd struct {
	Seeds   string        `default:"1" help:"Seeds: a number such as 7, a range such as 1-50, fresh:N for N random ones, or regressions for those that failed in the past."`
	Length  time.Duration `default:"20s" help:"How long faults are injected for each seed."`
	Copies  int           `default:"1" help:"Factor that multiplies the fleet of ten backend servers and the load."`
	Bin     string        `default:"bin" type:"path" help:"Folder of the programs."`
	Dir     string        `type:"path" help:"Folder of settings, data and logs; a temporary one by default. The files of failed seeds are kept."`
	Verbose bool          `help:"Write a line for each fault."`
}

// Run runs the seeds one after the other. It returns an error if a guarantee was broken.
func (c *soakCmd) Run(ctx context.Context) error {
	seeds, err := parseSeeds(c.Seeds)
	if err != nil {
		return err
	}
	dir := c.Dir
	if dir == "" {
		if dir, err = os.MkdirTemp("", "balsamtrail-soak-"); err != nil {
			return err
		}
	}
	return soak.RunSeeds(ctx, soak.Options{Bin: c.Bin, Dir: dir, Length: c.Length, FleetMultiplier: c.Copies, Verbose: c.Verbose, Out: os.Stdout}, seeds)
}

// maxSeeds is the maximum number of seeds per invocation.
const maxSeeds = 1000

// parseSeeds returns the seeds of --seeds: a number, a range, fresh:N or regressions.
func parseSeeds(s string) ([]uint64, error) {
	if s == "regressions" {
		return soak.RegressionSeeds(), nil
	}
	if n, ok := strings.CutPrefix(s, "fresh:"); ok {
		count, err := strconv.Atoi(n)
		if err != nil || count < 1 || count > maxSeeds {
			return nil, fmt.Errorf("seeds %q: want fresh:N with N up to %d", s, maxSeeds)
		}
		var out []uint64
		for range count {
			out = append(out, uint64(rand.Uint32()))
		}
		return out, nil
	}
	first, last, ranged := strings.Cut(s, "-")
	if !ranged {
		last = first
	}
	from, err1 := strconv.ParseUint(first, 10, 64)
	to, err2 := strconv.ParseUint(last, 10, 64)
	if err1 != nil || err2 != nil || to < from || to-from >= maxSeeds {
		return nil, fmt.Errorf("seeds %q: want a number or a range of at most %d", s, maxSeeds)
	}
	var out []uint64
	for seed := from; seed <= to; seed++ {
		out = append(out, seed)
	}
	return out, nil
}
