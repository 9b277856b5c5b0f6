// Command balsamtrail is the command-line tool for operators and partners. It
// publishes release notes, takes data centres out of service and back, and shows
// the state of moves.
package main

import (
	"context"
	"errors"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"

	"balsamtrail.org/mesh/explain"
	"balsamtrail.org/mesh/model"
	"balsamtrail.org/mesh/operator"
)

// Exit codes.
const (
	exitOK          = 0
	exitFailure     = 1 // any error without a code of its own
	exitUsage       = 2 // invalid arguments, flags or environment variables
	exitConflict    = 3 // another change was accepted first
	exitReversed    = 4 // the move was rolled back
	exitUnreachable = 5 // control hosts unreachable, unavailable or overloaded, or outcome unknown
)

// errReversed is returned by status when the move was rolled back.
var errReversed = errors.New("the move was reversed")

func main() {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	code := run(ctx, os.Args[1:], os.Stdout, os.Stderr)
	stop()
	os.Exit(code)
}

// exitPanic is the exit code that kong's exit function passes to run by a panic,
// since kong expects that function not to return.
type exitPanic int

// run parses and executes the command line and returns the exit code.
func run(ctx context.Context, args []string, stdout, stderr io.Writer) (code int) {
	defer func() {
		if r := recover(); r != nil {
			e, ok := r.(exitPanic)
			if !ok {
				panic(r)
			}
			code = int(e)
		}
	}()
	var c cli
	parser, err := kong.New(&c,
		kong.Name("balsamtrail"),
		kong.Description("Publishes release notes to a balsamtrail mesh and shows the state of their moves."),
		kong.Writers(stdout, stderr),
		kong.Exit(func(code int) { panic(exitPanic(code)) }),
		kong.ConfigureHelp(kong.HelpOptions{Compact: true}),
		kong.BindTo(ctx, (*context.Context)(nil)),
	)
	if err != nil {
		printLine(stderr, "balsamtrail: %v", err)
		return exitFailure
	}
	k, err := parser.Parse(args)
	if err != nil {
		printLine(stderr, "balsamtrail: %v\nRun \"balsamtrail --help\" for the commands.", err)
		return exitUsage
	}
	e := &env{globals: &c.globals, stdout: stdout, stderr: stderr}
	defer e.close()
	err = k.Run(e)
	if err != nil {
		reportError(stderr, err)
	}
	return exitCode(err)
}

// exitCode maps the error of a command to an exit code.
func exitCode(err error) int {
	switch {
	case err == nil:
		return exitOK
	case errors.Is(err, errReversed):
		return exitReversed
	case errors.Is(err, errUsage):
		return exitUsage
	case errors.Is(err, operator.ErrConflict):
		return exitConflict
	case errors.Is(err, explain.ErrNode), errors.Is(err, operator.ErrUnreachable), errors.Is(err, operator.ErrUnavailable),
		errors.Is(err, operator.ErrOverloaded), errors.Is(err, operator.ErrOutcomeUnknown):
		return exitUnreachable
	default:
		return exitFailure
	}
}

// operationError adds the operation ID to the error of a write, so that the
// operator can repeat the same operation.
type operationError struct {
	err error
	id  model.OperationID
}

func (e *operationError) Error() string { return e.err.Error() }
func (e *operationError) Unwrap() error { return e.err }

// reportError prints an error, with the accepted note after a conflict and with the
// operation ID after an unknown outcome.
func reportError(w io.Writer, err error) {
	printLine(w, "balsamtrail: %v", err)
	var body *operator.Error
	if errors.As(err, &body) && body.Winner != nil {
		win := body.Winner
		printLine(w, "accepted instead: note %d revision %d %q by %s at %s",
			win.Number, win.Revision, win.Title, win.Operator, formatTime(win.Accepted))
	}
	var op *operationError
	if errors.As(err, &op) && errors.Is(err, operator.ErrOutcomeUnknown) {
		printLine(w, "The change may have been accepted. Repeat the command with --operation-id %s to learn its result.", op.id)
	}
}

// printLine writes a formatted line to w. A write error is ignored, since it could
// not be reported anywhere else.
func printLine(w io.Writer, format string, args ...any) { _, _ = fmt.Fprintf(w, format+"\n", args...) }
