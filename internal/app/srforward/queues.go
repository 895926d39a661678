package srforward

import (
	"context"
	"slices"
	"sync"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"github.com/sassafrasrail/sassafrasrail/internal/app/srlog"
	"github.com/sassafrasrail/sassafrasrail/internal/policy/srdispatch"
)

// queues holds the request queues of all services.
type queues struct {
	seed   uint64
	domain string
	log    *srlog.Log

	mu        sync.Mutex
	byService map[string]*queue
	// holders asks the coordinators of groups of endpoints.
	holders *holders
}

// queue is the queue of one service. It delivers the decisions of srdispatch to the
// requests that wait for them.
type queue struct {
	name    string
	log     *srlog.Log
	holders *holders

	mu         sync.Mutex
	dispatcher *srdispatch.Service
	waiting    map[uint64]chan srdispatch.Decision
	lastID     uint64
	timer      *time.Timer
	// timerSet is set while the timer runs.
	timerSet bool
}

func newQueues(seed uint64, domain string, log *srlog.Log) *queues {
	return &queues{seed: seed, domain: domain, log: log, byService: make(map[string]*queue)}
}

// get returns the queue of a service, which it creates if necessary.
func (q *queues) get(service string) *queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	s, ok := q.byService[service]
	if !ok {
		s = &queue{
			name:       service,
			log:        q.log,
			holders:    q.holders,
			dispatcher: srdispatch.New(srdispatch.Options{Seed: q.seed, Domain: q.domain}),
			waiting:    make(map[uint64]chan srdispatch.Decision),
		}
		q.byService[service] = s
	}
	return s
}

func (q *queues) all() map[string]*queue {
	q.mu.Lock()
	defer q.mu.Unlock()
	out := make(map[string]*queue, len(q.byService))
	for name, s := range q.byService {
		out[name] = s
	}
	return out
}

// configure sets the usable endpoints of every service.
func (q *queues) configure(usable map[string][]srdispatch.Endpoint) {
	for service := range usable {
		q.get(service)
	}
	for service, s := range q.all() {
		s.update(func(now time.Time) []srdispatch.Decision {
			return s.dispatcher.Configure(now, usable[service])
		})
	}
}

// setPeerLoad sets the load from the other instances, by endpoint.
func (q *queues) setPeerLoad(load map[string]srdispatch.Load) {
	for _, s := range q.all() {
		s.update(func(now time.Time) []srdispatch.Decision { return s.dispatcher.SetPeerLoad(now, load) })
	}
}

// load returns the requests that this instance has in flight and the prompt tokens that have
// no answer yet, by endpoint.
func (q *queues) load() (running, pending map[string]int) {
	load := make(map[string]srdispatch.Load)
	for _, s := range q.all() {
		s.mu.Lock()
		s.dispatcher.AddLoad(load)
		s.mu.Unlock()
	}
	pending = make(map[string]int)
	for id, l := range load {
		if l.Pending >= minReportedTokens {
			pending[id] = l.Pending
		}
	}
	return runningOf(load), pending
}

// runningOf returns the requests in flight of a load, by endpoint.
func runningOf(load map[string]srdispatch.Load) map[string]int {
	running := make(map[string]int, len(load))
	for id, l := range load {
		running[id] = l.Running
	}
	return running
}

// minReportedTokens is the number of prompt tokens at an endpoint from which the other
// instances are told. Fewer are processed before the next message.
const minReportedTokens = 2000

// acquire waits until the request gets an endpoint or is refused, by the coordinator of a group
// or by this instance alone. It calls onWait with the length of the queue if the request waits.
func (s *queue) acquire(ctx context.Context, a srdispatch.Ask, onWait func(queue int)) (srdispatch.Decision, error) {
	if d, decided, err := s.holders.acquire(ctx, s, a, onWait); decided {
		return d, err
	}
	return s.acquireAlone(ctx, a, onWait)
}

// adopt counts a request to which a coordinator has granted a slot. It returns false if the
// endpoint is not usable by this instance's view.
func (s *queue) adopt(endpoint string, prompt int) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Adopt(time.Now(), endpoint, prompt)
}

// running returns the requests in flight from this instance, by endpoint.
func (s *queue) running() map[string]int {
	load := make(map[string]srdispatch.Load)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.dispatcher.AddLoad(load)
	return runningOf(load)
}

// maxAvoided bounds the endpoints that an ask names because they fail or pause for this instance.
// A group has fewer.
const maxAvoided = 128

// avoid returns the endpoints that a request must not get, with those that fail or pause for
// this instance. One that goes back to a former endpoint does so whatever its health.
func (s *queue) avoid(a srdispatch.Ask) []string {
	if len(a.Only) > 0 {
		return a.Avoid
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	unhealthy := s.dispatcher.Unhealthy(time.Now())
	return append(slices.Clone(a.Avoid), unhealthy[:min(len(unhealthy), maxAvoided)]...)
}

// acquireAlone is acquire by this instance alone.
func (s *queue) acquireAlone(ctx context.Context, a srdispatch.Ask, onWait func(queue int)) (srdispatch.Decision, error) {
	ch := make(chan srdispatch.Decision, 1)
	s.mu.Lock()
	s.lastID++
	a.ID = s.lastID
	s.waiting[a.ID] = ch
	s.mu.Unlock()
	s.update(func(now time.Time) []srdispatch.Decision { return s.dispatcher.Add(now, a) })
	select {
	case d := <-ch:
		return d, nil
	default:
		onWait(s.length())
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
		// The decision arrived while the context ended.
		return d, nil
	default:
	}
	s.dispatcher.Withdraw(a.ID)
	delete(s.waiting, a.ID)
	return srdispatch.Decision{}, ctx.Err()
}

func (s *queue) length() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Waiting()
}

// answerStarted records that an endpoint sent the first event of an answer.
func (s *queue) answerStarted(endpoint string, prompt int, first time.Duration) {
	s.mu.Lock()
	now := time.Now()
	s.dispatcher.AnswerStarted(now, endpoint, prompt, first)
	s.logHealthChanges()
	s.logLimitChanges(now)
	s.mu.Unlock()
	s.holders.started(s.name, sr.SlotStart{Endpoint: endpoint, Prompt: prompt, First: first})
}

// endpointSilent records that an endpoint has sent nothing to a request for too
// long.
func (s *queue) endpointSilent(endpoint string) {
	s.mu.Lock()
	s.dispatcher.ReportSilent(time.Now(), endpoint)
	s.logHealthChanges()
	s.mu.Unlock()
	s.holders.silent(s.name, endpoint)
}

// pause records that an incarnation of an endpoint wants no requests for d, and returns the
// time until it is used again.
func (s *queue) pause(endpoint string, born int64, d time.Duration) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Pause(time.Now(), endpoint, born, d)
}

// paused reports whether an endpoint wants no requests now.
func (s *queue) paused(endpoint string) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.Paused(time.Now(), endpoint)
}

// allPaused reports whether no endpoint wants requests from this instance.
func (s *queue) allPaused() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.AllPaused(time.Now())
}

// pauseDelay returns the retry delay of a caller while no endpoint wants requests, 0
// otherwise.
func (s *queue) pauseDelay(deadline time.Time) time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.dispatcher.PauseDelay(time.Now(), deadline)
}

// release returns the slot of an attempt with the attempt's result.
func (s *queue) release(endpoint string, r srdispatch.Result) {
	s.update(func(now time.Time) []srdispatch.Decision { return s.dispatcher.Release(now, endpoint, r) })
	s.holders.release(s.name, endpoint, r)
}

// update applies a change to the dispatcher and delivers the resulting decisions.
func (s *queue) update(step func(now time.Time) []srdispatch.Decision) {
	s.mu.Lock()
	defer s.mu.Unlock()
	now := time.Now()
	s.deliver(step(now))
	s.logHealthChanges()
	s.logLimitChanges(now)
	s.schedule()
}

// logHealthChanges logs each endpoint that was ejected or came back.
func (s *queue) logHealthChanges() {
	for _, c := range s.dispatcher.HealthChanges() {
		if c.Out {
			s.log.State("endpoint-out", srlog.Endpoint, c.Endpoint, srlog.Service, s.name, srlog.Failures, c.Failures, srlog.After, c.For)
			continue
		}
		s.log.State("endpoint-back", srlog.Endpoint, c.Endpoint, srlog.Service, s.name)
	}
}

func (s *queue) logLimitChanges(now time.Time) {
	for _, c := range s.dispatcher.LimitChanges(now) {
		s.holders.n.logLimitChange(c, srlog.Service, s.name)
	}
}

// logLimitChange logs and counts that an endpoint of a service or group gets more or fewer
// requests at once.
func (n *Instance) logLimitChange(c srdispatch.LimitChange, of, name string) {
	n.stats.count("endpoint.limit." + string(c.Reason))
	n.Log.State("endpoint-limit", srlog.Endpoint, c.Endpoint, of, name, srlog.Limit, c.Limit, srlog.Slots, c.Slots,
		srlog.Running, c.Running, srlog.Slowness, c.Slowness, srlog.Reason, string(c.Reason))
}

func (s *queue) deliver(list []srdispatch.Decision) {
	for _, d := range list {
		if ch, ok := s.waiting[d.Ask]; ok {
			delete(s.waiting, d.Ask)
			ch <- d
		}
	}
}

// schedule starts the timer if requests are waiting.
func (s *queue) schedule() {
	next, ok := s.dispatcher.Next()
	if !ok || s.timerSet {
		return
	}
	wait := min(max(time.Until(next), 0), maxTick)
	s.timerSet = true
	if s.timer == nil {
		s.timer = time.AfterFunc(wait, s.tick)
		return
	}
	s.timer.Reset(wait)
}

func (s *queue) tick() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.timerSet = false
	now := time.Now()
	s.deliver(s.dispatcher.Tick(now))
	s.logLimitChanges(now)
	s.schedule()
}
