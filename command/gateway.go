package command

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	"github.com/violettally/violettally/gateway"
	"github.com/violettally/violettally/logs"
	"github.com/violettally/violettally/settings"
)

// gcPercent is how much the heap may grow between two collections. A gateway holds all servers
// of its deployment and allocates little, so memory matters more than the time to collect.
const gcPercent = 50

// heapShare is the share of the VM's memory above which collections become more frequent. The rest is for the program
// itself and for what the kernel holds of connections.
const heapShare = 0.75

// gateway runs a gateway until SIGTERM or SIGINT, then drains it. SIGHUP
// reloads the log level from the settings file.
func (r *runner) gateway(args *gatewayArgs) int {
	// SIGHUP ends the process by default, so it is caught before startup.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	debug.SetGCPercent(gcPercent)
	ctx := shutdownContext()
	s, err := settings.LoadGateway(args.Settings)
	if err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitUsage
	}
	debug.SetMemoryLimit(int64(heapShare * float64(s.Limits.MemoryBytes())))
	var level slog.LevelVar
	setLevel(&level, s.LogLevel)
	out := logs.New(r.stdout)
	defer out.Close()
	slog.SetDefault(slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: &level})).With("vm", s.Name))
	slog.Info("starting", "version", version(), "settings", args.Settings)
	g, err := gateway.New(s, r.gatewayOptions...)
	if err != nil {
		slog.Error("gateway failed to start", "error", err)
		return ExitFailure
	}
	go reloadOnSignal(ctx, hangups, args.Settings, func(s *settings.Gateway) { setLevel(&level, s.LogLevel) })
	if err := g.Run(ctx); err != nil {
		slog.Error("gateway failed", "error", err)
		return ExitFailure
	}
	slog.Info("stopped")
	return ExitOK
}

// shutdownContext returns a context that is cancelled by the first SIGTERM or
// SIGINT. Later SIGTERMs are ignored: stop orders of the platform may overlap,
// and a second one would cut off all running requests. A second SIGINT ends the
// process.
func shutdownContext() context.Context {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx
}

// setLevel changes the current log level. The settings have been validated, so
// an unknown level is a bug.
func setLevel(level *slog.LevelVar, name string) {
	if err := level.UnmarshalText([]byte(name)); err != nil {
		slog.Error("unknown log level; keeping the current level", "level", name)
	}
}

// reloadOnSignal reloads the settings file at each SIGHUP. Invalid settings are
// logged and ignored.
func reloadOnSignal(ctx context.Context, hangups <-chan os.Signal, file string, apply func(*settings.Gateway)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := settings.LoadGateway(file)
		if err != nil {
			slog.Error("settings reload failed; keeping the previous settings", "error", err)
			continue
		}
		apply(s)
		slog.Info("settings reloaded", "file", file)
	}
}
