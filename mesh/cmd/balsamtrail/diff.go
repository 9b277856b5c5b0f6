package main

import (
	"context"
	"errors"
	"maps"
	"slices"

	"balsamtrail.org/mesh/note"
	"balsamtrail.org/mesh/note/strictjson"
	"balsamtrail.org/mesh/operator"
)

type diffCmd struct {
	File string `arg:"" help:"JSON file that holds the note." type:"existingfile"`
}

// Help implements kong.HelpProvider.
func (diffCmd) Help() string {
	return `Compares the configuration in force with the one that would result from publishing the file. If a note with the
same number is published already, compares that note with the file. Lines with - are removed, lines with + are added.

Example:
  balsamtrail diff ledger-v2.json`
}

// diffOutput is the JSON output of diff.
type diffOutput struct {
	Removed []string `json:"removed"`
	Added   []string `json:"added"`
}

// Run compares a note file with the accepted note or configuration.
func (c *diffCmd) Run(ctx context.Context, e *env) error {
	n, err := readNote(c.File)
	if err != nil {
		return err
	}
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	from, to, err := linesToCompare(ctx, e, cl, n)
	if err != nil {
		return err
	}
	d := diffOutput{Removed: linesNotIn(from, to), Added: linesNotIn(to, from)}
	return e.print(d, func(t *table) {
		for _, line := range d.Removed {
			t.row("- " + line)
		}
		for _, line := range d.Added {
			t.row("+ " + line)
		}
		if len(d.Removed)+len(d.Added) == 0 {
			t.row("no difference")
		}
	})
}

// linesToCompare returns the lines before and after the change: of the published
// note and the file if the number is published already, otherwise of the
// configuration without and with the note.
func linesToCompare(ctx context.Context, e *env, cl *operator.Client, n note.Note) (from, to []string, err error) {
	accepted, err := cl.Note(ctx, n.Number)
	if err == nil {
		e.warnUnconfirmed(accepted.Read)
		return noteLines(accepted.Note.Note), noteLines(n), nil
	}
	if !errors.Is(err, operator.ErrNotFound) {
		return nil, nil, err
	}
	a, err := cl.Config(ctx)
	if err != nil {
		return nil, nil, err
	}
	e.warnUnconfirmed(a.Read)
	before := configFromView(a.Config)
	after, err := note.Preview(before, n)
	if err != nil {
		return nil, nil, err
	}
	to = configLines(after)
	for _, m := range n.Moves {
		to = append(to, formatLine("move", m))
	}
	return configLines(before), to, nil
}

// configFromView converts the operator interface's view of a configuration.
func configFromView(v operator.ConfigView) note.Config {
	c := note.NewConfig()
	for _, s := range v.Services {
		c.Services[s.Name] = s
	}
	for _, r := range v.Routes {
		c.Routes[r.Name] = r
	}
	for _, s := range v.Shares {
		c.Shares[s.Service] = s.Shares
	}
	return c
}

// configLines returns one line for each item of a configuration, sorted by kind and
// name.
func configLines(c note.Config) []string {
	var out []string
	for _, name := range slices.Sorted(maps.Keys(c.Services)) {
		out = append(out, formatLine("service", c.Services[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Routes)) {
		out = append(out, formatLine("route", c.Routes[name]))
	}
	for _, name := range slices.Sorted(maps.Keys(c.Shares)) {
		out = append(out, formatLine("shares", note.ServiceShares{Service: name, Shares: c.Shares[name]}))
	}
	return out
}

// noteLines returns the title and one line for each change of a note.
func noteLines(n note.Note) []string {
	out := []string{"title " + n.Title}
	out = append(out, changeLines("service", n.Services)...)
	out = append(out, changeLines("route", n.Routes)...)
	for _, s := range n.Shares {
		out = append(out, formatLine("shares", s))
	}
	for _, m := range n.Moves {
		out = append(out, formatLine("move", m))
	}
	return out
}

// changeLines returns one line for each added, changed or withdrawn item.
func changeLines[T any](kind string, c note.Changes[T]) []string {
	var out []string
	for _, v := range c.Added {
		out = append(out, formatLine(kind+" added", v))
	}
	for _, v := range c.Changed {
		out = append(out, formatLine(kind+" changed", v))
	}
	for _, w := range c.Withdrawn {
		out = append(out, kind+" withdrawn "+w)
	}
	return out
}

// formatLine returns kind followed by v as JSON, or by the error of encoding it.
func formatLine(kind string, v any) string {
	raw, err := strictjson.Marshal(v)
	if err != nil {
		return kind + " " + err.Error()
	}
	return kind + " " + string(raw)
}

// linesNotIn returns the lines of a that are not in b.
func linesNotIn(a, b []string) []string {
	var out []string
	for _, line := range a {
		if !slices.Contains(b, line) {
			out = append(out, line)
		}
	}
	return out
}
