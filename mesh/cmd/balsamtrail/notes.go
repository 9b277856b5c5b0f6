package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"balsamtrail.org/mesh/note"
)

type publishCmd struct {
	writeFlags
	File string `arg:"" help:"JSON file that holds the note." type:"existingfile"`
}

// Help implements kong.HelpProvider.
func (publishCmd) Help() string {
	return `The number in the file must be that of the newest note plus one. If another operator has published that number
first, the command exits with code 3 and shows the accepted note.

Example:
  balsamtrail publish ledger-v2.json`
}

// Run publishes the note.
func (c *publishCmd) Run(ctx context.Context, e *env) error {
	n, err := readNote(c.File)
	if err != nil {
		return err
	}
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	r, err := cl.Publish(ctx, c.operationID(), n)
	return e.printResult(c.wrapError(err), r)
}

type amendCmd struct {
	writeFlags
	File     string `arg:"" help:"JSON file that holds the note." type:"existingfile"`
	Revision uint64 `help:"Revision to replace." required:""`
}

// Help implements kong.HelpProvider.
func (amendCmd) Help() string {
	return `Replaces the note with the number in the file if it still has the given revision. A move that keeps its
version keeps the share it has reached.

Example:
  balsamtrail amend ledger-v2.json --revision 1`
}

// Run amends the note.
func (c *amendCmd) Run(ctx context.Context, e *env) error {
	n, err := readNote(c.File)
	if err != nil {
		return err
	}
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	r, err := cl.Amend(ctx, c.operationID(), n, c.Revision)
	return e.printResult(c.wrapError(err), r)
}

type withdrawCmd struct {
	writeFlags
	Number   uint64 `arg:"" help:"Number of the note."`
	Revision uint64 `help:"Revision to withdraw." required:""`
}

// Help implements kong.HelpProvider.
func (withdrawCmd) Help() string {
	return `Takes the note out of the configuration if it still has the given revision. Traffic that its moves have
shifted goes back.

Example:
  balsamtrail withdraw 7 --revision 1`
}

// Run withdraws the note.
func (c *withdrawCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	r, err := cl.Withdraw(ctx, c.operationID(), c.Number, c.Revision)
	return e.printResult(c.wrapError(err), r)
}

// printResult prints the result of a write, or returns err if it is not nil.
func (e *env) printResult(err error, r note.Result) error {
	if err != nil {
		return err
	}
	return e.print(r, func(t *table) {
		switch {
		case r.Number != 0:
			t.row(fmt.Sprintf("accepted note %d revision %d at position %s", r.Number, r.Revision, r.Position))
		case r.Changed:
			t.row(fmt.Sprintf("accepted at position %s", r.Position))
		default:
			t.row("nothing to change")
		}
	})
}

// readNote reads and parses a note file.
func readNote(path string) (note.Note, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return note.Note{}, err
	}
	n, err := note.ParseNote(data)
	if err != nil {
		return note.Note{}, eris.Wrap(err, path)
	}
	return n, nil
}

type listCmd struct {
	Before uint64 `help:"Highest note number to list; 0 starts with the newest." default:"0"`
	Limit  int    `help:"Maximum number of notes to list." default:"20"`
}

// Help implements kong.HelpProvider.
func (listCmd) Help() string {
	return `Example:
  balsamtrail list --limit 5`
}

// Run lists notes.
func (c *listCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	a, err := cl.Notes(ctx, c.Before, c.Limit)
	if err != nil {
		return err
	}
	e.warnUnconfirmed(a.Read)
	return e.print(a, func(t *table) {
		t.row("NOTE", "REV", "STATE", "OPERATOR", "ACCEPTED", "IN FORCE", "TITLE")
		for _, r := range a.Notes {
			t.row(r.Note.Number, r.Note.Revision, noteState(r), r.Operator, formatTime(r.Accepted), formatTime(r.InForce), r.Note.Title)
		}
	})
}

// noteState derives the state of a note from its times and its withdrawal.
func noteState(r note.Record) string {
	switch {
	case r.Withdrawn:
		return "withdrawn"
	case !r.Reversed.IsZero():
		return "reversed"
	case !r.Done.IsZero():
		return "done"
	case !r.InForce.IsZero():
		return "in force"
	default:
		return "accepted"
	}
}

type showCmd struct {
	Number uint64 `arg:"" help:"Number of the note."`
}

// Help implements kong.HelpProvider.
func (showCmd) Help() string {
	return `Prints the state and times of the note, followed by the note as JSON. With --output json, prints one record
that holds all of these.

Example:
  balsamtrail show 7`
}

// Run shows a note.
func (c *showCmd) Run(ctx context.Context, e *env) error {
	cl, err := e.newClient()
	if err != nil {
		return err
	}
	a, err := cl.Note(ctx, c.Number)
	if err != nil {
		return err
	}
	e.warnUnconfirmed(a.Read)
	if e.Output == "json" {
		return e.print(a, nil)
	}
	err = e.print(a, func(t *table) { noteRows(t, a.Note) })
	if err != nil {
		return err
	}
	return (&env{globals: &globals{Output: "json"}, stdout: e.stdout}).print(a.Note.Note, nil)
}

// noteRows writes the state and times of a note.
func noteRows(t *table, r note.Record) {
	t.row("note", r.Note.Number)
	t.row("revision", r.Note.Revision)
	t.row("state", noteState(r))
	t.row("operator", r.Operator)
	t.row("position", r.Position)
	for _, line := range []struct {
		name string
		at   time.Time
	}{{"accepted", r.Accepted}, {"in force", r.InForce}, {"done", r.Done}, {"reversed", r.Reversed}} {
		t.row(line.name, formatTime(line.at))
	}
}
