// Package command implements the violettally command line. Each command returns
// an exit code: 0 for success, 1 for a failure, 2 for a usage error or an
// invalid file, 3 if an apply conflicts with another one, 4 if the outcome is
// unknown.
package command

import (
	"errors"
	"fmt"
	"io"
	"log/slog"
	"os"
	"runtime/debug"

	"github.com/alexflint/go-arg"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/gateway"
	"github.com/violettally/violettally/node"
	"github.com/violettally/violettally/settings"
)

// Exit codes of the commands.
const (
	ExitOK       = 0
	ExitFailure  = 1
	ExitUsage    = 2
	ExitConflict = 3
	ExitUnknown  = 4
)

type serveArgs struct {
	Settings string `arg:"-s,--settings,required" help:"settings file of this VM (JSON)"`
}

type gatewayArgs struct {
	Settings string `arg:"-s,--settings,env:VIOLETTALLY_SETTINGS,required" help:"settings file of this VM (JSON)"`
}

type fileArgs struct {
	File string `arg:"positional,required" help:"declaration file (JSON)"`
}

type remoteArgs struct {
	Node string `arg:"--node,env:VIOLETTALLY_NODE" default:"http://127.0.0.1:8201" help:"base URL of the operator API of any node"`
	Key  string `arg:"--key,env:VIOLETTALLY_OPERATOR_KEY" help:"operator key"`
}

type applyArgs struct {
	fileArgs
	remoteArgs
	Expect *int64 `arg:"--expect" help:"expected revision in force; the apply fails if another one is"`
	Change string `arg:"--change" help:"change ID of an earlier apply with unknown outcome, to retry it"`
}

type showArgs struct {
	What string `arg:"positional" default:"config" help:"config, view, rollouts or ledger"`
	remoteArgs
}

type explainArgs struct {
	RequestID string `arg:"positional,required" help:"request ID"`
	Account   string `arg:"--account" help:"client account of the request; finds the node without asking all of them"`
	remoteArgs
}

type addressesArgs struct {
	Node     string `arg:"--node,env:VIOLETTALLY_CALLER_NODE" default:"http://127.0.0.1:8101" help:"base URL of the client API of any node"`
	Key      string `arg:"--key,env:VIOLETTALLY_KEY" help:"client account key"`
	DataHall string `arg:"--data-hall" help:"data hall whose addresses are listed first"`
}

type logArgs struct {
	Files []string `arg:"positional" placeholder:"FILE" help:"gateway log (JSON lines); standard input if none is given"`
}

type digestArgs struct {
	Key string `arg:"positional,required" help:"client account key or operator key; - reads it from standard input"`
}

type arguments struct {
	Serve     *serveArgs     `arg:"subcommand:serve" help:"run a node on this VM"`
	Gateway   *gatewayArgs   `arg:"subcommand:gateway" help:"run a gateway that forwards requests on the users' platform"`
	Check     *fileArgs      `arg:"subcommand:check" help:"validate a declaration file and print every fault"`
	Apply     *applyArgs     `arg:"subcommand:apply" help:"apply a declaration file atomically"`
	Show      *showArgs      `arg:"subcommand:show" help:"print the current configuration, view, rollouts or ledger"`
	Explain   *explainArgs   `arg:"subcommand:explain" help:"print the routing decisions made for a request"`
	Addresses *addressesArgs `arg:"subcommand:addresses" help:"print the node addresses that clients may use"`
	Estimates *logArgs       `arg:"subcommand:estimates" help:"print the accuracy of the estimates in gateway logs"`
	Lags      *logArgs       `arg:"subcommand:lags" help:"print the propagation delay of store changes from gateway logs"`
	Digest    *digestArgs    `arg:"subcommand:digest" help:"print the digest of a key for a declaration file"`
	Version   *struct{}      `arg:"subcommand:version" help:"print the version"`
}

// Description returns the program summary for --help.
func (arguments) Description() string {
	return "violettally routes requests to versions and cascades of language models."
}

// Epilogue returns the list of exit codes for --help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 failure, 2 usage error or invalid file, 3 conflict with another apply, 4 outcome unknown."
}

// Option configures Main.
type Option func(*runner)

// WithGatewayOptions sets options of the gateway that is run.
func WithGatewayOptions(options ...gateway.Option) Option {
	return func(r *runner) { r.gatewayOptions = options }
}

// Main parses args, runs one command and returns its exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer, options ...Option) int {
	var parsed arguments
	parser, err := arg.NewParser(arg.Config{Program: "violettally", Out: stdout}, &parsed)
	if err != nil {
		fmt.Fprintln(stderr, err)
		return ExitUsage
	}
	switch err := parser.Parse(args); {
	case errors.Is(err, arg.ErrHelp):
		_ = parser.WriteHelpForSubcommand(stdout, parser.SubcommandNames()...)
		return ExitOK
	case err != nil:
		_ = parser.WriteUsageForSubcommand(stderr, parser.SubcommandNames()...)
		fmt.Fprintln(stderr, "error:", err)
		return ExitUsage
	}
	r := &runner{stdin: stdin, stdout: stdout, stderr: stderr}
	for _, option := range options {
		option(r)
	}
	return r.run(parsed, parser)
}

// runner runs commands on the given standard streams.
type runner struct {
	stdin          io.Reader
	stdout, stderr io.Writer
	gatewayOptions []gateway.Option
}

func (r *runner) run(args arguments, parser *arg.Parser) int {
	switch {
	case args.Serve != nil:
		return r.serve(args.Serve)
	case args.Gateway != nil:
		return r.gateway(args.Gateway)
	case args.Check != nil:
		return r.check(args.Check)
	case args.Apply != nil:
		return r.apply(args.Apply)
	case args.Show != nil:
		return r.show(args.Show)
	case args.Explain != nil:
		return r.explain(args.Explain)
	case args.Addresses != nil:
		return r.addresses(args.Addresses)
	case args.Estimates != nil:
		return r.estimates(args.Estimates)
	case args.Lags != nil:
		return r.lags(args.Lags)
	case args.Digest != nil:
		return r.digest(args.Digest)
	case args.Version != nil:
		fmt.Fprintln(r.stdout, "violettally", version())
		return ExitOK
	default:
		parser.WriteHelp(r.stderr)
		return ExitUsage
	}
}

// version returns the VCS revision of the build, or the module version if the
// build has none.
func version() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return "unknown"
	}
	for _, s := range info.Settings {
		if s.Key == "vcs.revision" {
			return s.Value
		}
	}
	return info.Main.Version
}

// serve runs a node until SIGTERM or SIGINT, then drains it. A second SIGINT
// ends the process at once.
func (r *runner) serve(args *serveArgs) int {
	s, err := settings.Load(args.Settings)
	if err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitUsage
	}
	var level slog.Level
	_ = level.UnmarshalText([]byte(s.LogLevel))
	slog.SetDefault(slog.New(slog.NewJSONHandler(r.stdout, &slog.HandlerOptions{Level: level})).With("vm", s.Name))
	n, err := node.New(s)
	if err != nil {
		slog.Error("node failed to start", "error", err)
		return ExitFailure
	}
	if err := n.Run(shutdownContext()); err != nil {
		slog.Error("node failed", "error", err)
		return ExitFailure
	}
	return ExitOK
}

// check validates a declaration file locally, without a node.
func (r *runner) check(args *fileArgs) int {
	source, err := os.ReadFile(args.File)
	if err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitFailure
	}
	_, faults := config.Parse(args.File, source)
	for _, fault := range faults {
		fmt.Fprintln(r.stderr, fault)
	}
	if len(faults) > 0 {
		fmt.Fprintf(r.stderr, "%d faults\n", len(faults))
		return ExitUsage
	}
	fmt.Fprintln(r.stdout, "ok")
	return ExitOK
}
