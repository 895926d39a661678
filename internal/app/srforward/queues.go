package srforward

import (
	"context"
	"sync"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// queues carries out the decisions of srdispatch, one service each.
type queues struct {
	seed   uint64
	domain string
	log    *srlog.Log

	mu   sync.Mutex
	list map[string]*queue
}

// queue is the queue of one service.
type queue struct {
	name string
	log  *srlog.Log

	mu      sync.Mutex
	service *srdispatch.Service
	waiting map[uint64]chan srdispatch.Decision
	next    uint64
	timer   *time.Timer
	// ticking is set while the timer runs.
	ticking bool
}

func newQueues(seed uint64, domain string, log *srlog.Log) *queues {
	return &queues{seed: seed, domain: domain, log: log, list: make(map[string]*queue)}
}

// of returns the queue of a service.
func (q *queues) of(service string) *queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.list[service]
	if !ok {
		s = &queue{
			name:    service,
			log:     q.log,
			service: srdispatch.New(srdispatch.Options{Seed: q.seed, Domain: q.domain}),
			waiting: make(map[uint64]chan srdispatch.Decision),
		}
		q.list[service] = s
	}
	return s
}

func (q *queues) all() map[string]*queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]*queue, len(q.list))
	for name, s := range q.list {
		out[name] = s
	}
	return out
}

// configure sets the usable endpoints of every service.
func (q *queues) configure(usable map[string][]srdispatch.Endpoint) {
	for service := range usable {
		q.of(service)
	}
	for service, s := range q.all() {
		s.do(func(now time.Time) []srdispatch.Decision {
			return s.service.Configure(now, usable[service])
		})
	}
}

// peers passes on what the other instances have in flight.
func (q *queues) peers(running map[string]int) {
	for _, s := range q.all() {
		s.do(func(now time.Time) []srdispatch.Decision { return s.service.Peers(now, running) })
	}
}

// running returns the requests in flight here by endpoint.
func (q *queues) running() map[string]int {
	out := make(map[string]int)
	for _, s := range q.all() {
		s.mu.Lock()
		s.service.Running(out)
		s.mu.Unlock()
	}
	return out
}

// acquire waits for an endpoint or a refusal. It calls waits with the length of
// the queue when there is none at once.
func (s *queue) acquire(ctx context.Context, a srdispatch.Ask, waits func(queue int)) (srdispatch.Decision, error) {
	ch := make(chan srdispatch.Decision, 1)
	s.mu.Lock()
	s.next++
	a.ID = s.next
	s.waiting[a.ID] = ch
	s.mu.Unlock()
	s.do(func(now time.Time) []srdispatch.Decision { return s.service.Add(now, a) })
	select {
	case d := <-ch:
		return d, nil
	default:
		waits(s.length())
	}
	select {
	case d := <-ch:
		return d, nil
	case <-ctx.Done():
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	select {
	case d := <-ch:
		// The decision came at the same moment.
		return d, nil
	default:
	}
	s.service.Withdraw(a.ID)
	delete(s.waiting, a.ID)
	return srdispatch.Decision{}, ctx.Err()
}

func (s *queue) length() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.service.Waiting()
}

// began notes that an answer has begun.
func (s *queue) began(endpoint string, prompt int, first time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Began(time.Now(), endpoint, prompt, first)
	s.logVerdicts()
}

// silent notes that a request has waited for too long for an endpoint to answer.
func (s *queue) silent(endpoint string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.service.Silent(time.Now(), endpoint)
	s.logVerdicts()
}

// done gives a slot back.
func (s *queue) done(endpoint string, r srdispatch.Result) {
	s.do(func(now time.Time) []srdispatch.Decision { return s.service.Done(now, endpoint, r) })
}

// do runs a step of the policy and delivers its decisions.
func (s *queue) do(step func(now time.Time) []srdispatch.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.deliver(step(time.Now()))
	s.logVerdicts()
	s.schedule()
}

// logVerdicts writes a line for each endpoint that is judged otherwise than before.
func (s *queue) logVerdicts() {
	for _, v := range s.service.Verdicts() {
		if v.Out {
			s.log.State("endpoint-out", srlog.Endpoint, v.Endpoint, srlog.Service, s.name, srlog.Failures, v.Failures, srlog.After, v.For)
			continue
		}
		s.log.State("endpoint-back", srlog.Endpoint, v.Endpoint, srlog.Service, s.name)
	}
}

func (s *queue) deliver(list []srdispatch.Decision) {
	for _, d := range list {
		if ch, ok := s.waiting[d.Ask]; ok {
			delete(s.waiting, d.Ask)
			ch <- d
		}
	}
}

// schedule starts the timer while asks wait.
func (s *queue) schedule() {
	next, ok := s.service.Next()
	if !ok || s.ticking {
		return
	}
	wait := min(max(time.Until(next), 0), tickEvery)
	s.ticking = true
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.tick)
		return
	}
	s.timer.Reset(wait)
}

func (s *queue) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.ticking = false
	s.deliver(s.service.Tick(time.Now()))
	s.schedule()
}
