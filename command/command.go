// Package command is the command line of violettally. Each command returns an
// exit code: 0 for success, 1 for a failure, 2 for wrong use or for a file
// with faults, 3 for a race that was lost, 4 for an unknown outcome.
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
	"github.com/violettally/violettally/node"
	"github.com/violettally/violettally/settings"
)

// The exit codes.
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
	Node string `arg:"--node,env:VIOLETTALLY_NODE" default:"http://127.0.0.1:8201" help:"operators' address of any node"`
	Key  string `arg:"--key,env:VIOLETTALLY_OPERATOR_KEY" help:"operator's key"`
}

type applyArgs struct {
	fileArgs
	remoteArgs
	Expect *int64 `arg:"--expect" help:"revision that must be in force; the apply fails if another is"`
	Change string `arg:"--change" help:"id of an apply whose outcome was unknown, to send it again"`
}

type showArgs struct {
	What string `arg:"positional" default:"config" help:"config, view, rollouts or ledger"`
	remoteArgs
}

type explainArgs struct {
	RequestID string `arg:"positional,required" help:"id of the request"`
	Account   string `arg:"--account" help:"client account, to find the node at once"`
	remoteArgs
}

type addressesArgs struct {
	Node     string `arg:"--node,env:VIOLETTALLY_CALLER_NODE" default:"http://127.0.0.1:8101" help:"callers' address of any node"`
	Key      string `arg:"--key,env:VIOLETTALLY_KEY" help:"client account's key"`
	DataHall string `arg:"--data-hall" help:"data hall whose addresses come first"`
}

type logArgs struct {
	Files []string `arg:"positional" placeholder:"FILE" help:"gateways' logs (JSON lines); without one, standard input"`
}

type digestArgs struct {
	Key string `arg:"positional,required" help:"key of an account or operator; - reads it from standard input"`
}

type arguments struct {
	Serve     *serveArgs     `arg:"subcommand:serve" help:"run a node on this VM"`
	Gateway   *gatewayArgs   `arg:"subcommand:gateway" help:"run a node on the users' platform, passing requests through"`
	Check     *fileArgs      `arg:"subcommand:check" help:"check a declaration file and print every fault"`
	Apply     *applyArgs     `arg:"subcommand:apply" help:"put a declaration file in force, whole or not at all"`
	Show      *showArgs      `arg:"subcommand:show" help:"print what is in force"`
	Explain   *explainArgs   `arg:"subcommand:explain" help:"print how a request was decided"`
	Addresses *addressesArgs `arg:"subcommand:addresses" help:"print the addresses that callers may use"`
	Estimates *logArgs       `arg:"subcommand:estimates" help:"print how good the estimates in gateways' logs were"`
	Lags      *logArgs       `arg:"subcommand:lags" help:"print how late gateways learned what the store had taken, by their logs"`
	Digest    *digestArgs    `arg:"subcommand:digest" help:"print the digest of a key, for a declaration file"`
	Version   *struct{}      `arg:"subcommand:version" help:"print the version"`
}

// Description is shown by --help.
func (arguments) Description() string {
	return "violettally routes requests to versions and cascades of language models."
}

// Epilogue is shown by --help.
func (arguments) Epilogue() string {
	return "Exit codes: 0 success, 1 failure, 2 wrong use or a file with faults, 3 a race lost, 4 outcome unknown."
}

// Main runs one command and returns its exit code.
func Main(args []string, stdin io.Reader, stdout, stderr io.Writer) int {
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
	return r.run(parsed, parser)
}

// runner runs commands with the given streams.
type runner struct {
	stdin          io.Reader
	stdout, stderr io.Writer
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

// version is the module's version or, for a build from a checkout, its commit.
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

// serve runs a node until SIGTERM or SIGINT, then drains it. A second signal
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
		slog.Error("node cannot start", "error", err)
		return ExitFailure
	}
	if err := n.Run(shutdownContext()); err != nil {
		slog.Error("node failed", "error", err)
		return ExitFailure
	}
	return ExitOK
}

// check needs no node: it checks the file alone.
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
