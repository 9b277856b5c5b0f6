package main

import (
	"context"
	"os"

	"balsamtrail.org/bench/capacity"
	"balsamtrail.org/mesh/model"
)

// capacityCmd measures how the resource use of each role grows with its size, for
// docs/CAPACITY.md.
type capacityCmd struct {
	Tables   tablesCmd   `cmd:"" help:"Measure the routing tables of one node by number of endpoints."`
	Node     nodeCmd     `cmd:"" help:"Measure a node process by number of endpoints."`
	Versions versionsCmd `cmd:"" help:"Measure versions and snapshots by number of services."`
	Notes    notesCmd    `cmd:"" help:"Measure the replicated note state by number of notes."`
	Fleet    fleetCmd    `cmd:"" help:"Measure node and control processes by number of nodes."`
	Tree     treeCmd     `cmd:"" help:"Measure parents in the distribution tree by number of children."`
	Calls    callsCmd    `cmd:"" help:"Measure the entry node and the serving node by call rate."`
	Claims   claimsCmd   `cmd:"" help:"Measure claims on three control processes by number of claim groups and callers."`

	ClaimState claimStateCmd `cmd:"" help:"Measure the replicated claim state by number of records."`
}

type tablesCmd struct {
	Sizes  []int `default:"500,2000,8000,13000" help:"Numbers of endpoints."`
	Repeat int   `default:"3" help:"Runs of each size."`
}

// Run measures the routing tables of a node.
func (c *tablesCmd) Run() error { return capacity.Tables(os.Stdout, c.Sizes, c.Repeat) }

type versionsCmd struct {
	Sizes  []int `default:"250,500,1000,1500" help:"Numbers of services."`
	Repeat int   `default:"3" help:"Runs of each size."`
}

// Run measures versions and snapshots.
func (c *versionsCmd) Run() error { return capacity.Versions(os.Stdout, c.Sizes, c.Repeat) }

type notesCmd struct {
	Sizes  []int `default:"500,1000,2000,4000" help:"Numbers of notes; above 4,096 the oldest are folded."`
	Repeat int   `default:"2" help:"Runs of each size."`
}

// Run measures the replicated note state.
func (c *notesCmd) Run() error { return capacity.Notes(os.Stdout, c.Sizes, c.Repeat) }

type fleetCmd struct {
	Bin   string `default:"bin" type:"path" help:"Folder of the programs."`
	Sizes []int  `default:"20,60,120" help:"Numbers of nodes."`
}

// Run measures the processes of fleets of different sizes.
func (c *fleetCmd) Run(ctx context.Context) error {
	return capacity.Fleet(ctx, os.Stdout, c.Bin, c.Sizes)
}

type treeCmd struct {
	Bin   string `default:"bin" type:"path" help:"Folder of the programs."`
	Nodes int    `default:"90" help:"Number of nodes."`
}

// Run measures parents in the distribution tree.
func (c *treeCmd) Run(ctx context.Context) error {
	return capacity.Tree(ctx, os.Stdout, c.Bin, c.Nodes)
}

type callsCmd struct {
	Bin    string `default:"bin" type:"path" help:"Folder of the programs."`
	Rates  []int  `default:"100,400,1000" help:"Calls per second."`
	Write  bool   `help:"Send writes instead of lookups."`
	Repeat int    `default:"2" help:"Runs of each rate."`
}

// Run measures the nodes of calls, by rate and kind.
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
	Rates   []int  `default:"50,200,600" help:"Writes per second at which resource use is measured."`
	Callers []int  `default:"4,16,64" help:"Numbers of callers in a closed loop."`
}

// Run measures claims by number of groups, rate and callers.
func (c *claimsCmd) Run(ctx context.Context) error {
	return capacity.Claims(ctx, os.Stdout, c.Bin, c.Groups, c.Rates, c.Callers)
}

type claimStateCmd struct {
	Sizes  []int `default:"10000,50000,200000" help:"Numbers of records."`
	Repeat int   `default:"2" help:"Runs of each size."`
}

// Run measures the replicated claim state.
func (c *claimStateCmd) Run() error { return capacity.ClaimState(os.Stdout, c.Sizes, c.Repeat) }

type nodeCmd struct {
	Bin   string `default:"bin" type:"path" help:"Folder of the programs."`
	Sizes []int  `default:"500,2000,8000,13000" help:"Numbers of endpoints."`
}

// Run measures a node process with different numbers of endpoints.
func (c *nodeCmd) Run(ctx context.Context) error {
	return capacity.Node(ctx, os.Stdout, c.Bin, c.Sizes)
}
