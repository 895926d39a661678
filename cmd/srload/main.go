// Command srload puts an open-loop load on entry instances at loopback
// addresses and judges the answers of the engine stand-ins behind them.
//
// # Usage
//
//	srload --instance 127.0.0.1:7001 --instance 127.0.0.1:7002 \
//		--mix plant:KEY1:dawn:3 --mix yard:KEY2:batch:1 --rate 20 --count 200
//
// It ends with status 1 when an answer was wrong or a request ran that should
// not have.
package main

import (
	"context"
	"fmt"
	"os"
	"os/signal"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/alecthomas/kong"
	"github.com/pkg/errors"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/bench/srload"
)

type cli struct {
	Instance  []string      `help:"Entry instance, as IP:PORT on loopback." required:""`
	Mix       []string      `help:"Kind of caller, as WORKSPACE:KEY:TIER:WEIGHT." required:""`
	Engine    []string      `help:"Engine stand-in to ask for runs."`
	Desk      []string      `help:"Service stand-in to ask for runs."`
	Seed      uint64        `help:"Seed of the schedule." default:"1"`
	Rate      float64       `help:"Requests a second." default:"20"`
	Count     int           `help:"Most requests." default:"200"`
	Duration  time.Duration `help:"Longest schedule." default:"1m"`
	Patience  time.Duration `help:"How long a caller waits for a whole answer." default:"1m"`
	InFlight  int           `help:"Most requests at once." default:"1000"`
	Batch     int           `help:"Tickets fetched at once." default:"8"`
	Model     string        `help:"Model." default:"model"`
	PromptMin int           `help:"Shortest prompt in tokens." default:"16"`
	PromptMax int           `help:"Longest prompt in tokens." default:"1024"`
	AnswerMin int           `help:"Fewest tokens asked for." default:"8"`
	AnswerMax int           `help:"Most tokens asked for." default:"128"`
	Shared    float64       `help:"Part of a prompt that a workspace's requests share." default:"0.5"`
	EarlyStop bool          `help:"The engines stop early."`
	Calls     float64       `help:"Part of the requests that are calls of the service." default:"0"`
	Service   string        `help:"Plain service." default:""`
	Operation string        `help:"Operation of the service that may not be called twice." default:"book"`
	JSON      bool          `help:"Write the report as JSON." name:"json"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("srload"), kong.Description("Open-loop load on entry instances."))
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	k.FatalIfErrorf(c.run(ctx))
}

func (c *cli) run(ctx context.Context) error {
	cfg, err := c.config()
	if err != nil {
		return err
	}
	r, err := srload.New(cfg, nil)
	if err != nil {
		return err
	}
	report, err := r.Run(ctx)
	write := report.WriteText
	if c.JSON {
		write = report.WriteJSON
	}
	if werr := write(os.Stdout); werr != nil {
		return errors.Wrap(werr, "srload: report")
	}
	if err == nil && report.FaultCount > 0 {
		err = fmt.Errorf("%d faults", report.FaultCount)
	}
	return err
}

func (c *cli) config() (srload.Config, error) {
	cfg := srload.DefaultConfig()
	cfg.Instances, cfg.Engines, cfg.Services = c.Instance, c.Engine, c.Desk
	cfg.Seed, cfg.Rate, cfg.Count = c.Seed, c.Rate, c.Count
	cfg.Duration, cfg.Patience = c.Duration, c.Patience
	cfg.InFlight, cfg.Batch = c.InFlight, c.Batch
	cfg.Model = c.Model
	cfg.Prompt = srload.Range{Min: c.PromptMin, Max: c.PromptMax}
	cfg.Answer = srload.Range{Min: c.AnswerMin, Max: c.AnswerMax}
	cfg.Shared, cfg.EarlyStop = c.Shared, c.EarlyStop
	cfg.Calls, cfg.Service, cfg.Operation = c.Calls, c.Service, c.Operation
	for _, text := range c.Mix {
		m, err := parseMix(text)
		if err != nil {
			return cfg, err
		}
		cfg.Mixes = append(cfg.Mixes, m)
	}
	return cfg, nil
}

func parseMix(text string) (srload.Mix, error) {
	const parts = 4
	p := strings.Split(text, ":")
	if len(p) != parts {
		return srload.Mix{}, errors.Wrapf(sr.ErrInvalid, "srload: mix of workspace %q is not WORKSPACE:KEY:TIER:WEIGHT", p[0])
	}
	weight, err := strconv.ParseFloat(p[3], 64)
	if err != nil {
		return srload.Mix{}, errors.Wrapf(sr.ErrInvalid, "srload: mix of workspace %q has a weight that is no number", p[0])
	}
	return srload.Mix{Workspace: p[0], Key: p[1], Tier: p[2], Weight: weight}, nil
}
