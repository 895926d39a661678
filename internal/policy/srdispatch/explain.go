package srdispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/sassafrasrail/sassafrasrail/internal/policy/srlimit"
)

// Obstacle is why an endpoint does not get an ask, "" for none.
type Obstacle string

// Obstacles.
const (
	// ObstacleAvoided: the ask must not go there.
	ObstacleAvoided Obstacle = "avoided"
	// ObstaclePaused: the endpoint has asked for no requests.
	ObstaclePaused Obstacle = "paused"
	// ObstacleEjected: the endpoint has failed, and no more than maxEjectedShare have.
	ObstacleEjected Obstacle = "ejected"
	// ObstacleFull: no slot is free for this instance.
	ObstacleFull Obstacle = "full"
	// ObstacleCold: the endpoint is cold and has had a request a moment ago.
	ObstacleCold Obstacle = "cold"
)

// Explanation says where an ask would go now, and why.
type Explanation struct {
	// Decision is the one that Add would return. Its Kind is 0 if the ask would wait.
	Decision Decision
	// Queue is the number of waiting asks, Running the number of requests in flight from this
	// instance.
	Queue   int
	Running int
	// Ahead is the number of asks that would be placed before it, unless it is placed at once.
	Ahead int
	// Wait is the expected time in the queue, 0 when unknown or when it is placed at once.
	Wait time.Duration
	// MaxWait is how long an ask that waits may do so. It is refused then, to return after the
	// time RetryAfter, as estimated now.
	MaxWait    time.Duration
	RetryAfter time.Duration
	// Candidates are the usable endpoints: the chosen one, those with a free slot and the
	// others, each by cost.
	Candidates []Candidate
}

// Candidate is an endpoint as an ask meets it.
type Candidate struct {
	Endpoint string
	Domain   string
	// Own is the number of requests in flight from this instance, Others that from others.
	Own    int
	Others int
	Slots  int
	// Limit is the learned limit, Share the share of this instance.
	Limit    int
	Share    int
	Slowness float64
	// EjectedFor and PausedFor are 0 for an endpoint that is in use. An endpoint that waits for
	// the outcome of a probe counts as ejected.
	EjectedFor time.Duration
	PausedFor  time.Duration
	// ColdRate is the limit in requests a second of a cold endpoint, 0 for others.
	ColdRate float64
	// Start is the expected time to the start of the answer, Run from there to its end, both 0
	// when unknown. InTime tells whether they meet the objective and the deadline.
	Start  time.Duration
	Run    time.Duration
	InTime bool
	Cost   float64
	// Obstacle is why the endpoint gets nothing now.
	Obstacle Obstacle
	Chosen   bool
}

// explainID is the ID of an ask that is only explained, which no other ask has.
const explainID = math.MaxUint64

// Explain returns what Add would decide now. It changes nothing, not even the random numbers of
// later decisions.
func (s *Service) Explain(now time.Time, a Ask) Explanation {
	a.ID = explainID
	c := s.clone()
	out := Explanation{Queue: len(s.queue), Running: s.running, Candidates: c.candidates(now, c.newQueuedAsk(now, a))}
	w, decisions := c.enqueue(now, a)
	if slices.Contains(c.queue, w) {
		out.Ahead = c.ahead(now, w)
		out.Wait, _ = c.expectedWait(now, w)
		decisions = append(decisions, c.admit(now, w)...)
	}
	i := slices.IndexFunc(decisions, func(d Decision) bool { return d.Ask == explainID })
	if i < 0 {
		out.MaxWait = c.waitLimit(w).Sub(now)
		out.RetryAfter = c.refuse(now, w, ReasonLate).After
	} else {
		out.Decision = decisions[i]
	}
	for i := range out.Candidates {
		e := &out.Candidates[i]
		e.Chosen = out.Decision.Kind == Placed && e.Endpoint == out.Decision.Endpoint
	}
	slices.SortStableFunc(out.Candidates, func(a, b Candidate) int {
		return cmp.Or(cmp.Compare(a.order(), b.order()), cmp.Compare(a.Cost, b.Cost))
	})
	return out
}

func (c Candidate) order() int {
	switch {
	case c.Chosen:
		return 0
	case c.Obstacle == "":
		return 1
	}
	return 2
}

// candidates returns the usable endpoints as place looks at them.
func (s *Service) candidates(now time.Time, w *queuedAsk) []Candidate {
	skip := s.skipsUnhealthy(now) && len(w.Only) == 0
	preferred := s.preferredEndpoints(w.LastPart)
	out := make([]Candidate, 0, len(s.endpointIDs))
	for _, id := range s.endpointIDs {
		e := s.endpoints[id]
		run := s.runTime(now, e, w)
		c := s.score(now, e, w, run, preferred)
		until := e.ejectedUntil
		if e.probeUntil.After(until) {
			until = e.probeUntil
		}
		out = append(out, Candidate{
			Endpoint:   id,
			Domain:     e.Domain,
			Own:        e.ownInFlight,
			Others:     e.peerInFlight,
			Slots:      e.Slots,
			Limit:      e.learned.Limit(),
			Share:      e.Share,
			Slowness:   e.learned.Slowness(now),
			EjectedFor: max(until.Sub(now), 0),
			PausedFor:  max(e.pausedUntil.Sub(now), 0),
			ColdRate:   e.ColdRate,
			Start:      c.start,
			Run:        run,
			InTime:     c.inTime,
			Cost:       c.cost,
			Obstacle:   cmp.Or(w.exclusion(now, e, skip), e.obstacle(now)),
		})
	}
	return out
}

// clone returns a copy that changes on its own.
func (s *Service) clone() *Service {
	c := *s
	pcg := *s.pcg
	c.pcg, c.rand = &pcg, rand.New(&pcg)
	limiter, learned := s.limiter.Clone()
	c.limiter, c.learner = limiter, func(slots int) learner { return limiter.Add(slots) }
	c.endpointIDs, c.healthChanges = slices.Clone(s.endpointIDs), nil
	c.endpoints = make(map[string]*endpoint, len(s.endpoints))
	for id, e := range s.endpoints {
		copied := *e
		if l, ok := e.learned.(*srlimit.Endpoint); ok {
			copied.learned = learned[l]
		}
		c.endpoints[id] = &copied
	}
	c.queue = make([]*queuedAsk, len(s.queue))
	for i, w := range s.queue {
		copied := *w
		c.queue[i] = &copied
	}
	c.ranks = make(map[int]*rank, len(s.ranks))
	for key, r := range s.ranks {
		copied := *r
		copied.shares = r.shares.Clone()
		c.ranks[key] = &copied
	}
	return &c
}
