// Command balsamtraild is the daemon of balsamtrail. It runs as a control host or
// as the node beside a backend server, depending on the command.
package main

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
	"github.com/go-kratos/kratos/v2/log"

	"balsamtrail.org/mesh/control"
	"balsamtrail.org/mesh/invariant"
	"balsamtrail.org/mesh/node"
	"balsamtrail.org/mesh/settings"
	"balsamtrail.org/mesh/telemetry"
)

// version is set by the linker in release builds.
var version = "dev"

// cli is the command line of the daemon.
type cli struct {
	Control controlCmd       `cmd:"" help:"Run a control host. Example: balsamtraild control --settings /etc/balsamtrail/control.json"`
	Node    nodeCmd          `cmd:"" help:"Run the node beside a backend server. Example: balsamtraild node --settings /etc/balsamtrail/node.json"`
	Version kong.VersionFlag `help:"Print the version and exit."`
}

type controlCmd struct {
	Settings string `required:"" type:"path" help:"Settings file of the control host, JSON."`
}

type nodeCmd struct {
	Settings string `required:"" type:"path" help:"Settings file of the node, JSON."`
}

// Run runs a control host until a signal arrives or an error occurs.
func (c *controlCmd) Run(ctx context.Context) error {
	cfg, err := settings.LoadControl(c.Settings)
	if err != nil {
		return err
	}
	logger, closeLog := setUpProcess(cfg.Process, "control")
	defer closeLog()
	h, err := control.New(ctx, cfg, logger)
	if err != nil {
		return err
	}
	return h.Run(ctx)
}

// Run runs a node until a signal arrives or an error occurs.
func (c *nodeCmd) Run(ctx context.Context) error {
	cfg, err := settings.LoadNode(c.Settings)
	if err != nil {
		return err
	}
	logger, closeLog := setUpProcess(cfg.Process, "node")
	defer closeLog()
	node.LimitMemory(cfg.Limits.Memory)
	n, err := node.New(ctx, cfg, logger)
	if err != nil {
		return err
	}
	return n.Run(ctx)
}

// setUpProcess opens the process's log and sets whether invariant violations panic.
// closeLog writes the last log lines.
func setUpProcess(p settings.Process, role string) (logger *slog.Logger, closeLog func()) {
	logger, closeLog = telemetry.OpenLog(os.Stdout, p.LogLevel, string(p.Host), role)
	slog.SetDefault(logger)
	log.SetLogger(telemetry.KratosLogger(logger))
	invariant.SetFatal(p.InvariantsFatal)
	return logger, closeLog
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("balsamtraild"), kong.Description("The daemon of balsamtrail."),
		kong.Vars{"version": version}, kong.UsageOnError())
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	if err := k.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "balsamtraild:", err)
		stop()
		os.Exit(1)
	}
}
