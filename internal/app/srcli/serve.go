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

// Run runs an entry instance until it fails or a signal stops it.
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

// stopSignals returns a channel that receives a value for each SIGTERM or SIGINT.
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
		l = logr.New(errorsOnlySink{l.GetSink()})
	}
	return l.WithValues("instance", cfg.Peer)
}

// errorsOnlySink is a log sink that drops informational lines.
type errorsOnlySink struct{ logr.LogSink }

// Enabled returns false, which drops informational lines of every level.
func (errorsOnlySink) Enabled(int) bool { return false }

// WithValues returns a sink that adds values to each line.
func (s errorsOnlySink) WithValues(values ...any) logr.LogSink {
	return errorsOnlySink{s.LogSink.WithValues(values...)}
}

// WithName returns a sink that adds a name to each line.
func (s errorsOnlySink) WithName(name string) logr.LogSink {
	return errorsOnlySink{s.LogSink.WithName(name)}
}
