package srcli

import (
	"context"
	"log"
	"os"
	"os/signal"
	"syscall"

	"github.com/go-logr/logr"
	"github.com/go-logr/stdr"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srserve"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsettings"
)

type serveCommand struct {
	Settings string `required:"" help:"INI file with the settings of this process." type:"path"`
}

// Run runs an entry instance until it is told to stop.
func (c serveCommand) Run(o *output) error {
	cfg, err := srsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	p, err := srserve.New(cfg, newLog(o, cfg))
	if err != nil {
		return err
	}
	return p.Run(context.Background(), stopSignals())
}

// stopSignals turns SIGTERM and SIGINT into messages.
func stopSignals() <-chan struct{} {
	raw := make(chan os.Signal, 2)
	signal.Notify(raw, syscall.SIGTERM, syscall.SIGINT)
	stops := make(chan struct{}, 2)
	go func() {
		for range raw {
			stops <- struct{}{}
		}
	}()
	return stops
}

func newLog(o *output, cfg srsettings.Settings) logr.Logger {
	if cfg.Level == srsettings.LevelDebug {
		stdr.SetVerbosity(1)
	}
	l := stdr.New(log.New(o.err, "", log.LstdFlags|log.Lmicroseconds|log.LUTC))
	if cfg.Level == srsettings.LevelError {
		l = logr.New(onlyErrors{l.GetSink()})
	}
	return l.WithValues("instance", cfg.Peer)
}

// onlyErrors is a sink without informational lines.
type onlyErrors struct{ logr.LogSink }

// Enabled reports that no level of informational lines is written.
func (onlyErrors) Enabled(int) bool { return false }

// WithValues returns a sink with further values.
func (s onlyErrors) WithValues(values ...any) logr.LogSink {
	return onlyErrors{s.LogSink.WithValues(values...)}
}

// WithName returns a sink with a further name.
func (s onlyErrors) WithName(name string) logr.LogSink {
	return onlyErrors{s.LogSink.WithName(name)}
}
