// Command standin serves a stand-in for a model engine, a plain service or the
// platform over HTTP, for demos and tests.
//
// # Usage
//
//	standin engine --listen 127.0.0.1:8001 --slots 8 --cold 2
//	standin service --listen 127.0.0.1:8002 --latency 5ms
//	standin platform --listen 127.0.0.1:8003 --set manifest=manifest.ini
//
// SIGTERM or SIGINT stops it immediately, without waiting for open connections.
package main

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"net/http"
	"net/netip"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srconfig"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srplainservice"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srweb"
)

// cli holds the commands of the command line.
type cli struct {
	Engine   engineCmd   `cmd:"" help:"Serve a model engine."`
	Service  serviceCmd  `cmd:"" help:"Serve a plain service."`
	Platform platformCmd `cmd:"" help:"Serve a configuration service with an instance list."`
}

type listenFlags struct {
	Listen netip.AddrPort `help:"Address to listen on, as IP:PORT." required:""`
}

type engineCmd struct {
	listenFlags
	Seed         uint64        `help:"Seed of the random delays and losses." default:"1"`
	Slots        int           `help:"Maximum number of requests in the batch." default:"16"`
	Queue        int           `help:"Maximum number of queued requests." default:"32"`
	Prefill      float64       `help:"Prompt tokens processed per second." default:"8000"`
	Step         time.Duration `help:"Duration of a decode step with one request." default:"20ms"`
	Growth       float64       `help:"Fraction of the step time that each further request adds." default:"0.03"`
	Cache        int           `help:"Capacity of the cache in prefix blocks." default:"4096"`
	Cold         int           `help:"Requests that a cold engine can run at once; 0 for no cold start." default:"0"`
	WarmRequests int           `help:"Completed requests that end a cold start." default:"4"`
	WarmTime     time.Duration `help:"Minimum duration of a cold start." default:"5s"`
	Outage       time.Duration `help:"How long the engine stays down after an overload crash." default:"2s"`
	LoadLag      time.Duration `help:"Maximum age of a load report." default:"1s"`
	EventLag     time.Duration `help:"Maximum delay of a cache event." default:"2s"`
	EventLoss    float64       `help:"Fraction of the cache events that is lost." default:"0.05"`
	Retention    time.Duration `help:"How long an ended stream can be resumed." default:"30s"`
	EarlyStop    bool          `help:"End answers before the requested number of tokens."`
}

type serviceCmd struct {
	listenFlags
	Slots   int           `help:"Maximum number of concurrent calls; 0 for no limit." default:"16"`
	Latency time.Duration `help:"Duration of a call." default:"5ms"`
	Slow    int           `help:"Factor by which the fault slow multiplies the latency." default:"20"`
	Once    []string      `help:"Operations that must not run twice with the same body."`
}

type platformCmd struct {
	listenFlags
	Rate     int               `help:"Maximum number of calls per second." default:"2000"`
	Lag      time.Duration     `help:"Delay of changes to the list of instances." default:"3s"`
	Set      map[string]string `help:"Values to publish, as KEY=FILE." mapsep:"none"`
	Instance []string          `help:"Instances to publish, as IP:PORT@DOMAIN."`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("standin"), kong.Description("Serves stand-ins for engines, services and the platform."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k.BindTo(ctx, (*context.Context)(nil))
	k.FatalIfErrorf(k.Run())
}

// Run serves a model engine.
func (c *engineCmd) Run(ctx context.Context) error {
	cfg := srengine.DefaultConfig().WithCold(c.Cold, c.WarmRequests, c.WarmTime)
	cfg.Slots, cfg.Queue = c.Slots, c.Queue
	cfg.Prefill, cfg.Step, cfg.Growth = c.Prefill, c.Step, c.Growth
	cfg.Cache = c.Cache
	cfg.Outage = c.Outage
	cfg.LoadLag, cfg.EventLag, cfg.EventLoss = c.LoadLag, c.EventLag, c.EventLoss
	cfg.Retention = c.Retention
	cfg.EarlyStop = c.EarlyStop
	cfg.Run = strconv.FormatInt(time.Now().UnixNano(), 36) + "-"
	e := srengine.New(cfg, rand.New(rand.NewPCG(c.Seed, 0)))
	return c.serve(ctx, srengine.Handler(e))
}

// Run serves a plain service.
func (c *serviceCmd) Run(ctx context.Context) error {
	s := srplainservice.New(srplainservice.Config{Slots: c.Slots, Latency: c.Latency, Slow: c.Slow, Once: c.Once})
	return c.serve(ctx, srplainservice.Handler(s))
}

// Run serves the platform.
func (c *platformCmd) Run(ctx context.Context) error {
	cfg := srconfig.DefaultConfig()
	cfg.Rate, cfg.Burst = c.Rate, c.Rate
	cfg.Lag = c.Lag
	s := srconfig.New(cfg)
	for key, file := range c.Set {
		data, err := os.ReadFile(file)
		if err != nil {
			return errors.Wrap(err, "standin")
		}
		if _, err := s.Set(key, data); err != nil {
			return err
		}
	}
	list, err := parseInstances(c.Instance)
	if err != nil {
		return err
	}
	if err := s.SetInstances(list); err != nil {
		return err
	}
	return c.serve(ctx, srconfig.Handler(s))
}

func (c *listenFlags) serve(ctx context.Context, h http.Handler) error {
	l, err := net.Listen("tcp", c.Listen.String())
	if err != nil {
		return errors.Wrap(err, "standin")
	}
	fmt.Println("listening on", l.Addr())
	return srweb.Serve(ctx, l, h)
}

func parseInstances(texts []string) ([]sr.Instance, error) {
	var list []sr.Instance
	for _, text := range texts {
		address, domain, ok := strings.Cut(text, "@")
		if _, err := netip.ParseAddrPort(address); err != nil || !ok {
			return nil, errors.Wrapf(sr.ErrInvalid, "standin: instance %q is not IP:PORT@DOMAIN", text)
		}
		list = append(list, sr.Instance{Address: address, Domain: domain})
	}
	return list, nil
}
