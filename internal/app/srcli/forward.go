package srcli

import (
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srforward"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/peer/srconn"
	"github.com/sassafrasrail/sassafrasrail/internal/state/srsite"
	"github.com/sassafrasrail/sassafrasrail/platform"
)

// heapPart is the part of a machine's memory from which the collector works
// harder; the rest is for stacks and bytes that wait in sockets.
const heapPart = 0.6

type forwardCommand struct {
	Settings string `required:"" env:"SASSAFRASRAIL_NODE_FILE" help:"INI file with the settings of this process." type:"path"`
	Quiet    bool   `help:"Write no lines about requests that are served."`
}

// Run runs a forwarding instance until it is told to stop.
func (c forwardCommand) Run(o *output) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := srsite.Load(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(cfg.Memory) * heapPart * (1 << 20)))
	log := srlog.New(o.out, srlog.Options{Name: cfg.Name, Quiet: c.Quiet})
	defer log.Close()
	p, err := srforward.New(cfg, srforward.Options{
		Wire:     platform.Headers{},
		Registry: openRegistry,
		Reload:   func() (srsite.Settings, error) { return srsite.Load(c.Settings) },
		Log:      log,
	})
	if err != nil {
		return err
	}
	return p.Run(context.Background(), signals)
}

func openRegistry(address string, o srconn.Options) (sr.Registry, error) {
	return platform.NewStore(address, o)
}
