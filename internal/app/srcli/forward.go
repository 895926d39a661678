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
	"github.com/sassafrasrail/sassafrasrail/internal/state/srforwardsettings"
	"github.com/sassafrasrail/sassafrasrail/platform"
)

// heapFraction is the fraction of the machine's memory that is set as the soft memory
// limit of the Go runtime, above which the garbage collector runs more often. The
// rest is left for goroutine stacks and data buffered in sockets.
const heapFraction = 0.6

type forwardCommand struct {
	Settings string `required:"" env:"SASSAFRASRAIL_NODE_FILE" help:"INI file with the settings of this process." type:"path"`
	Quiet    bool   `help:"Do not log requests that are served."`
}

// Run runs a forwarding instance until it ends or a signal stops it.
func (c forwardCommand) Run(o *output) error {
	signals := make(chan os.Signal, 4)
	signal.Notify(signals, syscall.SIGTERM, syscall.SIGINT)
	// A signal that finds no room is dropped, so those to reload must not take the room of those
	// to stop. One that waits stands for all.
	reloads := make(chan os.Signal, 1)
	signal.Notify(reloads, syscall.SIGHUP)
	signal.Ignore(syscall.SIGPIPE)
	cfg, err := srforwardsettings.Load(c.Settings)
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(int64(float64(cfg.Memory) * heapFraction * (1 << 20)))
	log := srlog.New(o.out, srlog.Options{Name: cfg.Name, Quiet: c.Quiet})
	defer log.Close()
	p, err := srforward.New(cfg, srforward.Options{
		Codec:         platform.Headers{},
		Registry:      openRegistry,
		Reload:        func() (srforwardsettings.Settings, error) { return srforwardsettings.Load(c.Settings) },
		ReloadSignals: reloads,
		Log:           log,
	})
	if err != nil {
		return err
	}
	return p.Run(context.Background(), signals)
}

func openRegistry(address string, o srconn.Options) (sr.Registry, error) {
	return platform.NewStore(address, o)
}
