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
	return l.WithValues("instance", cfg.Peer)
}
