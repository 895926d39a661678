// Command srload sends an open-loop load to entry instances at loopback addresses and
// checks the answers of the engine stand-ins behind them.
//
// # Usage
//
//	srload --instance 127.0.0.1:7001 --instance 127.0.0.1:7002 \
//		--mix plant:KEY1:dawn:3 --mix yard:KEY2:batch:1 --rate 20 --count 200
//
// It exits with status 1 if an answer was wrong or a request ran that should not have.
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

// cli holds the flags of the command line.
type cli struct {
	Instance  []string      `help:"Address of an entry instance, as IP:PORT on loopback." required:""`
	Mix       []string      `help:"Kind of caller and its weight, as WORKSPACE:KEY:TIER:WEIGHT." required:""`
	Engine    []string      `help:"Address of an engine stand-in that is asked which requests ran."`
	Desk      []string      `help:"Address of a service stand-in that is asked which calls ran."`
	Seed      uint64        `help:"Seed of the schedule." default:"1"`
	Rate      float64       `help:"Requests per second." default:"20"`
	Count     int           `help:"Maximum number of requests." default:"200"`
	Duration  time.Duration `help:"Maximum duration of the schedule." default:"1m"`
	Patience  time.Duration `help:"How long a caller waits for a complete answer." default:"1m"`
	InFlight  int           `help:"Maximum number of requests in flight." default:"1000"`
	Batch     int           `help:"Number of tickets fetched by one call." default:"8"`
	Model     string        `help:"Name of the model." default:"model"`
	PromptMin int           `help:"Minimum prompt length in tokens." default:"16"`
	PromptMax int           `help:"Maximum prompt length in tokens." default:"1024"`
	AnswerMin int           `help:"Minimum number of tokens requested." default:"8"`
	AnswerMax int           `help:"Maximum number of tokens requested." default:"128"`
	Shared    float64       `help:"Fraction of a prompt that the requests of a workspace share." default:"0.5"`
	EarlyStop bool          `help:"The engines end answers before the requested number of tokens."`
	Calls     float64       `help:"Fraction of the requests that are calls of the service." default:"0"`
	Service   string        `help:"Name of the plain service." default:""`
	Operation string        `help:"Operation of the service that must not run twice." default:"book"`
	JSON      bool          `help:"Write the report as JSON." name:"json"`
}

func main() {
	var c cli
	k := kong.Parse(&c, kong.Name("srload"), kong.Description("Sends an open-loop load to entry instances."))
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
		return errors.Wrap(werr, "srload: write the report")
	}
	if err == nil && report.FaultCount > 0 {
		err = fmt.Errorf("srload: found %d faults", report.FaultCount)
	}
	return err
}

func (c *cli) config() (srload.Config, error) {
	cfg := srload.DefaultConfig()
	cfg.Instances, cfg.Engines, cfg.Services = c.Instance, c.Engine, c.Desk
	cfg.Seed, cfg.Rate, cfg.Count = c.Seed, c.Rate, c.Count
	cfg.Duration, cfg.ClientTimeout = c.Duration, c.Patience
	cfg.InFlight, cfg.Batch = c.InFlight, c.Batch
	cfg.Model = c.Model
	cfg.Prompt = srload.Range{Min: c.PromptMin, Max: c.PromptMax}
	cfg.Answer = srload.Range{Min: c.AnswerMin, Max: c.AnswerMax}
	cfg.SharedFraction, cfg.EarlyStop = c.Shared, c.EarlyStop
	cfg.CallFraction, cfg.Service, cfg.Operation = c.Calls, c.Service, c.Operation
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
		return srload.Mix{}, errors.Wrapf(sr.ErrInvalid, "srload: mix of workspace %q has a weight that is not a number", p[0])
	}
	return srload.Mix{Workspace: p[0], Key: p[1], Tier: p[2], Weight: weight}, nil
}
