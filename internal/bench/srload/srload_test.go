package srload_test

import (
	"context"
	"fmt"
	"math/rand/v2"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/pkg/errors"
	goahttp "goa.design/goa/v3/http"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/gen/http/requests/server"
	"github.com/sassafrasrail/sassafrasrail/gen/requests"
	"github.com/sassafrasrail/sassafrasrail/internal/bench/srload"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srengine"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srpipe"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srplainservice"
	"github.com/sassafrasrail/sassafrasrail/internal/standin/srweb"
)

const (
	entryA   = "127.0.0.1:7001"
	entryB   = "127.0.0.1:7002"
	engineA  = "127.0.0.1:8001"
	serviceA = "127.0.0.1:8002"
)

// entry is a minimal entry instance that passes every request to one engine or service.
type entry struct {
	engine  *srengine.Engine
	service *srplainservice.Service
	// breakAt breaks the first connection of each answer after this many events.
	breakAt int
	// corrupt changes the texts of answers. When refuse returns an error, the request is
	// answered with it and not passed on.
	corrupt func(string) string
	refuse  func(prompt string) error

	mu     sync.Mutex
	issued int
}

func (e *entry) Tickets(_ context.Context, p *requests.TicketsPayload) (*requests.TicketsResult, error) {
	e.mu.Lock()
	defer e.mu.Unlock()
	res := &requests.TicketsResult{Lifetime: 600}
	for range p.Count {
		e.issued++
		res.Tickets = append(res.Tickets, fmt.Sprint("t", e.issued))
	}
	return res, nil
}

func (e *entry) Generate(ctx context.Context, p *requests.GeneratePayload, s requests.GenerateServerStream) error {
	if e.refuse != nil {
		if err := e.refuse(p.Prompt); err != nil {
			return err
		}
	}
	stream, err := e.engine.Dispatch(ctx, sr.Dispatch{
		Stream: *p.Ticket, Workspace: *p.Key, Model: p.Model, Prompt: p.Prompt, Tokens: p.Tokens,
	})
	if err != nil {
		return &requests.Problem{Name: "overloaded", Reason: err.Error(), Outcome: "not-run"}
	}
	return e.deliver(ctx, *p.Ticket, stream, s.SendWithContext, 0, e.breakAt)
}

func (e *entry) Resume(ctx context.Context, p *requests.ResumePayload, s requests.ResumeServerStream) error {
	stream, err := e.engine.Resume(ctx, *p.Receipt, p.After-1)
	if err != nil {
		return &requests.Problem{Name: "unknown-outcome", Reason: err.Error(), Outcome: "unknown"}
	}
	return e.deliver(ctx, p.Ticket, stream, s.SendWithContext, p.After, 0)
}

func (e *entry) Call(ctx context.Context, p *requests.CallPayload) (*requests.CallResult, error) {
	a, err := e.service.Call(ctx, sr.Call{Service: p.Service, Operation: p.Operation, ID: *p.Ticket, Body: *p.Body})
	if err != nil {
		return nil, &requests.Problem{Name: "unknown-outcome", Reason: err.Error(), Outcome: "unknown"}
	}
	return &requests.CallResult{Ticket: *p.Ticket, Outcome: "complete", Status: &a.Code, Body: &a.Body}, nil
}

func (e *entry) Status(context.Context, *requests.StatusPayload) (*requests.StatusResult, error) {
	return nil, errors.New("not served")
}

// deliver sends the events that follow number after, and breaks the connection after
// event number stop.
func (e *entry) deliver(ctx context.Context, ticket string, stream sr.Stream, send func(context.Context, *requests.Event) error, after, stop int) error {
	defer stream.Close()
	if after == 0 {
		after++
		_ = send(ctx, &requests.Event{ID: "1", Type: "receipt", Data: &requests.EventData{Ticket: &ticket, Receipt: &ticket}})
	}
	for {
		if stop > 0 && after >= stop {
			panic(http.ErrAbortHandler)
		}
		t, err := stream.Next(ctx)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		after++
		ev := &requests.Event{ID: strconv.Itoa(after), Type: "text", Data: &requests.EventData{Text: &t.Text}}
		if t.End {
			complete, tokens := "complete", t.Seq-1
			ev.Type, ev.Data = "end", &requests.EventData{Outcome: &complete, Tokens: &tokens}
		} else if e.corrupt != nil {
			t.Text = e.corrupt(t.Text)
		}
		if err := send(ctx, ev); err != nil || t.End {
			return err
		}
	}
}

func (e *entry) handler() http.Handler {
	mux := goahttp.NewMuxer()
	s := server.New(requests.NewEndpoints(e), mux, goahttp.RequestDecoder, goahttp.ResponseEncoder, nil, nil)
	s.Mount(mux)
	return mux
}

func testConfig() srload.Config {
	cfg := srload.DefaultConfig()
	cfg.Instances = []string{entryA, entryB}
	cfg.Engines = []string{engineA}
	cfg.Services = []string{serviceA}
	cfg.Rate, cfg.Count = 10, 40
	cfg.Answer = srload.Range{Min: 8, Max: 32}
	cfg.Mixes = []srload.Mix{
		{Workspace: "plant", Key: "k1", Tier: "dawn", Weight: 3},
		{Workspace: "yard", Key: "k2", Tier: "batch", Weight: 1},
	}
	return cfg
}

// run puts the load of cfg on two instances that share one entry, in virtual time.
func run(t *testing.T, cfg srload.Config, change func(e *entry), check func(t *testing.T, report srload.Report, err error)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		engine := srengine.DefaultConfig()
		engine.Slots, engine.Queue = 32, 64
		e := &entry{
			engine:  srengine.New(engine, rand.New(rand.NewPCG(1, 2))),
			service: srplainservice.New(srplainservice.Config{Latency: 5 * time.Millisecond}),
		}
		change(e)
		n := srpipe.New()
		ctx, cancel := context.WithCancel(t.Context())
		var wg sync.WaitGroup
		for address, h := range map[string]http.Handler{
			entryA:   e.handler(),
			entryB:   e.handler(),
			engineA:  srengine.Handler(e.engine),
			serviceA: srplainservice.Handler(e.service),
		} {
			l, err := n.Listen(address)
			assert.NilError(t, err)
			wg.Go(func() { assert.Check(t, srweb.Serve(ctx, l, h)) })
		}
		r, err := srload.New(cfg, n.DialContext)
		assert.NilError(t, err)
		report, err := r.Run(t.Context())
		check(t, report, err)
		cancel()
		wg.Wait()
	})
}

func sum(report srload.Report, count func(srload.Tier) int) int {
	n := 0
	for _, tier := range report.Tiers {
		n += count(tier)
	}
	return n
}

func complete(t srload.Tier) int { return t.Complete }

func TestWholeAnswersAreComplete(t *testing.T) {
	cfg := testConfig()
	cfg.CallFraction, cfg.Service = 0.2, "desk"
	run(t, cfg, func(*entry) {}, func(t *testing.T, report srload.Report, err error) {
		assert.NilError(t, err)
		assert.Equal(t, sum(report, complete), cfg.Count)
		assert.Equal(t, report.FaultCount, 0, "%v", report.Faults)
		assert.Equal(t, report.Audited, cfg.Count)
		assert.Equal(t, len(report.Tiers), 3)
		for _, tier := range report.Tiers {
			assert.Equal(t, tier.First.Count, int64(tier.Requests), tier.Tier)
		}
	})
}

func TestBrokenAnswersAreResumed(t *testing.T) {
	run(t, testConfig(), func(e *entry) { e.breakAt = 4 }, func(t *testing.T, report srload.Report, err error) {
		assert.NilError(t, err)
		assert.Equal(t, sum(report, complete), 40)
		assert.Equal(t, sum(report, func(t srload.Tier) int { return t.Retried }), 40)
		assert.Equal(t, report.FaultCount, 0, "%v", report.Faults)
	})
}

func TestWrongAnswersAreFaults(t *testing.T) {
	run(t, testConfig(), func(e *entry) { e.corrupt = strings.ToUpper }, func(t *testing.T, report srload.Report, err error) {
		assert.NilError(t, err)
		assert.Assert(t, report.FaultCount > 30, "%d faults", report.FaultCount)
		assert.Assert(t, len(report.Faults) <= 20)
	})
}

func TestRefusalsAreCountedByOutcomeAndCheckedAgainstRuns(t *testing.T) {
	for name, tc := range map[string]struct {
		refuse func(e *entry) func(string) error
		faults int
	}{
		"request did not run": {func(*entry) func(string) error {
			return func(string) error {
				return &requests.Problem{Name: "limited", Reason: "over the limit of 7.5/s", Outcome: "not-run"}
			}
		}, 0},
		"request ran": {func(e *entry) func(string) error {
			return func(prompt string) error {
				_, err := e.engine.Dispatch(context.Background(), sr.Dispatch{Stream: prompt, Prompt: prompt, Tokens: 1})
				if err != nil {
					return err
				}
				return &requests.Problem{Name: "limited", Reason: "over the limit of 7.5/s", Outcome: "not-run"}
			}
		}, 40},
	} {
		t.Run(name, func(t *testing.T) {
			run(t, testConfig(), func(e *entry) { e.refuse = tc.refuse(e) }, func(t *testing.T, report srload.Report, err error) {
				assert.NilError(t, err)
				assert.Equal(t, sum(report, func(t srload.Tier) int { return t.NotRun }), 40)
				assert.Equal(t, sum(report, func(t srload.Tier) int { return t.Reasons["limited: over the limit of #/s"] }), 40)
				assert.Equal(t, report.FaultCount, tc.faults)
			})
		})
	}
}

func TestRequestThatRanTwiceIsAFault(t *testing.T) {
	double := func(e *entry) func(string) error {
		return func(prompt string) error {
			_, err := e.engine.Dispatch(context.Background(), sr.Dispatch{Stream: prompt, Prompt: prompt, Tokens: 1})
			return err
		}
	}
	run(t, testConfig(), func(e *entry) { e.refuse = double(e) }, func(t *testing.T, report srload.Report, err error) {
		assert.NilError(t, err)
		assert.Equal(t, sum(report, complete), 40)
		assert.Equal(t, report.FaultCount, 40)
	})
}

func TestArrivalsDoNotWaitForAnswers(t *testing.T) {
	cfg := testConfig()
	cfg.InFlight, cfg.ClientTimeout = 10, 5*time.Second
	run(t, cfg, func(e *entry) { e.engine.Freeze() }, func(t *testing.T, report srload.Report, err error) {
		assert.NilError(t, err)
		assert.Assert(t, report.Skipped > 0)
		assert.Equal(t, sum(report, func(t srload.Tier) int { return t.Unknown })+report.Skipped, 40)
		assert.Equal(t, sum(report, complete), 0)
	})
}

func TestDeadInstanceIsReplacedByAnother(t *testing.T) {
	cfg := testConfig()
	cfg.Instances = append(cfg.Instances, "127.0.0.1:7003")
	run(t, cfg, func(*entry) {}, func(t *testing.T, report srload.Report, err error) {
		assert.NilError(t, err)
		assert.Equal(t, sum(report, complete), 40)
		assert.Assert(t, sum(report, func(t srload.Tier) int { return t.Retried }) > 0)
	})
}

func TestSameSeedGivesTheSameReport(t *testing.T) {
	var texts []string
	for range 2 {
		run(t, testConfig(), func(*entry) {}, func(t *testing.T, report srload.Report, err error) {
			assert.NilError(t, err)
			var text strings.Builder
			assert.NilError(t, report.WriteText(&text))
			texts = append(texts, text.String())
		})
	}
	assert.Equal(t, texts[0], texts[1])
}

func TestReportsAsTextAndJSON(t *testing.T) {
	report := srload.Report{
		Seed: 7, Seconds: 12.34, Skipped: 1, Audited: 12, FaultCount: 1,
		Faults: []string{"t9, tier dawn: ran 2 times"},
		Tiers: []srload.Tier{
			{Tier: "batch", Requests: 4, Complete: 1, CutShort: 1, NotRun: 1, Unknown: 1, Reasons: map[string]int{"overloaded": 1, "given up": 2}},
			{Tier: "dawn", Requests: 8, Complete: 8, Retried: 2, First: srload.Quantiles{Count: 8, P50: 100, P95: 201.5, P99: 300, Max: 400}},
		},
	}
	var text strings.Builder
	assert.NilError(t, report.WriteText(&text))
	assert.NilError(t, report.WriteJSON(&text))
	golden.Assert(t, text.String(), "report.golden")
}

func TestConfigIsChecked(t *testing.T) {
	for name, change := range map[string]func(*srload.Config){
		"no instance":      func(c *srload.Config) { c.Instances = nil },
		"remote instance":  func(c *srload.Config) { c.Instances = []string{"10.0.0.1:80"} },
		"instance by name": func(c *srload.Config) { c.Instances = []string{"localhost:80"} },
		"remote engine":    func(c *srload.Config) { c.Engines = []string{"192.0.2.1:80"} },
		"remote service":   func(c *srload.Config) { c.Services = []string{"0.0.0.0:80"} },
		"no mix":           func(c *srload.Config) { c.Mixes = nil },
		"no weight":        func(c *srload.Config) { c.Mixes[0].Weight = 0 },
		"too long":         func(c *srload.Config) { c.Duration = 2 * srload.MaxDuration },
		"too many":         func(c *srload.Config) { c.Count = srload.MaxCount + 1 },
		"too fast":         func(c *srload.Config) { c.Rate = srload.MaxRate + 1 },
		"no service":       func(c *srload.Config) { c.CallFraction = 0.1 },
		"range":            func(c *srload.Config) { c.Prompt = srload.Range{Min: 9, Max: 8} },
	} {
		cfg := testConfig()
		change(&cfg)
		_, err := srload.New(cfg, nil)
		assert.Assert(t, errors.Is(err, sr.ErrInvalid), "%s: %v", name, err)
	}
}
