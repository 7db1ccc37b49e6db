package command

import (
	"context"
	"fmt"
	"log/slog"
	"os"
	"os/signal"
	"syscall"

	"github.com/violettally/violettally/gateway"
	"github.com/violettally/violettally/logs"
	"github.com/violettally/violettally/settings"
)

// gateway runs a gateway until SIGTERM or SIGINT, then drains it. SIGHUP
// reads the settings again.
func (r *runner) gateway(args *gatewayArgs) int {
	// Without a channel for it, the signal to reload would end the process.
	hangups := make(chan os.Signal, 1)
	signal.Notify(hangups, syscall.SIGHUP)
	defer signal.Stop(hangups)
	ctx := shutdownContext()
	s, err := settings.LoadGateway(args.Settings)
	if err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitUsage
	}
	var level slog.LevelVar
	setLevel(&level, s.LogLevel)
	out := logs.New(r.stdout)
	defer out.Close()
	slog.SetDefault(slog.New(slog.NewJSONHandler(out, &slog.HandlerOptions{Level: &level})).With("vm", s.Name))
	slog.Info("starting", "version", version(), "settings", args.Settings)
	g, err := gateway.New(s)
	if err != nil {
		slog.Error("gateway cannot start", "error", err)
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

// shutdownContext returns a context that ends with the first SIGTERM or SIGINT. The
// platform's later SIGTERMs change nothing, since stops may overlap and a second
// one would cut off all requests under way; a person's second SIGINT ends the
// process.
func shutdownContext() context.Context {
	signal.Notify(make(chan os.Signal, 1), syscall.SIGTERM)
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	context.AfterFunc(ctx, stop)
	return ctx
}

// setLevel changes the log level in force; the settings have been checked, so
// an unknown one is a fault of this program.
func setLevel(level *slog.LevelVar, name string) {
	if err := level.UnmarshalText([]byte(name)); err != nil {
		slog.Error("log level unknown; it stays as it is", "level", name)
	}
}

// reloadOnSignal reads the settings at each SIGHUP. Settings with faults change
// nothing.
func reloadOnSignal(ctx context.Context, hangups <-chan os.Signal, file string, apply func(*settings.Gateway)) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-hangups:
		}
		s, err := settings.LoadGateway(file)
		if err != nil {
			slog.Error("settings not read again; the last ones stay in force", "error", err)
			continue
		}
		apply(s)
		slog.Info("settings read again", "file", file)
	}
}
