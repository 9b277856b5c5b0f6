package main

import (
	"context"
	"os"

	"balsamtrail.org/bench/capacity"
	"balsamtrail.org/mesh/model"
)

// capacityCmd measures the slopes of docs/CAPACITY.md.
type capacityCmd struct {
	Tables   tablesCmd   `cmd:"" help:"Tables of one node against the number of endpoints."`
	Node     nodeCmd     `cmd:"" help:"A node process against the number of endpoints."`
	Versions versionsCmd `cmd:"" help:"Versions and snapshots against the number of services."`
	Notes    notesCmd    `cmd:"" help:"Replicated note state against the number of notes."`
	Fleet    fleetCmd    `cmd:"" help:"Node and control processes against the number of nodes."`
	Tree     treeCmd     `cmd:"" help:"Tree parents against the number of their children."`
	Calls    callsCmd    `cmd:"" help:"Entry and serving node against the rate of calls."`
	Claims   claimsCmd   `cmd:"" help:"Claims on three control processes against groups and callers."`

	ClaimState claimStateCmd `cmd:"" help:"Replicated claim state against the number of records."`
}

type tablesCmd struct {
	Sizes  []int `default:"500,2000,8000,13000" help:"Numbers of endpoints."`
	Repeat int   `default:"3" help:"Runs of each size."`
}

// Run measures the tables.
func (c *tablesCmd) Run() error { return capacity.Tables(os.Stdout, c.Sizes, c.Repeat) }

type versionsCmd struct {
	Sizes  []int `default:"250,500,1000,1500" help:"Numbers of services."`
	Repeat int   `default:"3" help:"Runs of each size."`
}

// Run measures versions.
func (c *versionsCmd) Run() error { return capacity.Versions(os.Stdout, c.Sizes, c.Repeat) }

type notesCmd struct {
	Sizes  []int `default:"500,1000,2000,4000" help:"Numbers of notes; above 4,096 the oldest are folded."`
	Repeat int   `default:"2" help:"Runs of each size."`
}

// Run measures the note state.
func (c *notesCmd) Run() error { return capacity.Notes(os.Stdout, c.Sizes, c.Repeat) }

type fleetCmd struct {
	Bin   string `default:"bin" type:"path" help:"Folder of the programs."`
	Sizes []int  `default:"20,60,120" help:"Numbers of nodes."`
}

// Run measures fleets of processes.
func (c *fleetCmd) Run(ctx context.Context) error {
	return capacity.Fleet(ctx, os.Stdout, c.Bin, c.Sizes)
}

type treeCmd struct {
	Bin   string `default:"bin" type:"path" help:"Folder of the programs."`
	Nodes int    `default:"90" help:"Number of nodes."`
}

// Run measures tree parents.
func (c *treeCmd) Run(ctx context.Context) error {
	return capacity.Tree(ctx, os.Stdout, c.Bin, c.Nodes)
}

type callsCmd struct {
	Bin    string `default:"bin" type:"path" help:"Folder of the programs."`
	Rates  []int  `default:"100,400,1000" help:"Calls a second."`
	Write  bool   `help:"Send writes instead of lookups."`
	Repeat int    `default:"2" help:"Runs of each rate."`
}

// Run measures calls.
func (c *callsCmd) Run(ctx context.Context) error {
	kind := model.KindLookup
	if c.Write {
		kind = model.KindWrite
	}
	return capacity.Calls(ctx, os.Stdout, c.Bin, c.Rates, kind, c.Repeat)
}

type claimsCmd struct {
	Bin     string `default:"bin" type:"path" help:"Folder of the programs."`
	Groups  []int  `default:"1,2,4" help:"Numbers of claim groups."`
	Rates   []int  `default:"50,200,600" help:"Writes a second for the slopes."`
	Callers []int  `default:"4,16,64" help:"Callers in a closed loop."`
}

// Run measures claims.
func (c *claimsCmd) Run(ctx context.Context) error {
	return capacity.Claims(ctx, os.Stdout, c.Bin, c.Groups, c.Rates, c.Callers)
}

type claimStateCmd struct {
	Sizes  []int `default:"10000,50000,200000" help:"Numbers of records."`
	Repeat int   `default:"2" help:"Runs of each size."`
}

// Run measures the claim state.
func (c *claimStateCmd) Run() error { return capacity.ClaimState(os.Stdout, c.Sizes, c.Repeat) }

type nodeCmd struct {
	Bin   string `default:"bin" type:"path" help:"Folder of the programs."`
	Sizes []int  `default:"500,2000,8000,13000" help:"Numbers of endpoints."`
}

// Run measures a node process.
func (c *nodeCmd) Run(ctx context.Context) error {
	return capacity.Node(ctx, os.Stdout, c.Bin, c.Sizes)
}
