package srlimit

import (
	"math"
	"slices"
	"time"
)

const (
	// maxSamples is the number of samples that the slowness of an endpoint is the median of. A
	// change is seen after half of them.
	maxSamples = 15
	// sampleInterval is the time for which answers are combined to one sample: a short stall
	// delays all requests of a batch and counts once.
	sampleInterval = 100 * time.Millisecond
	// minSamples is the number of samples needed to compare an endpoint.
	minSamples = 5
	// sampleAge is the age from which a sample does not count towards a limit. It is also
	// when an endpoint without answers begins to be taken for as fast as at its best again.
	sampleAge = 5 * time.Second
	// forgetTime is the time constant of that.
	forgetTime = 10 * time.Second
	// minTolerance is the factor by which answers may be slower than expected. A smaller one
	// makes too little difference to callers to give up slots for it.
	minTolerance = 1.5
	// noiseFactor is the number of mean absolute deviations of a median that counts as noise:
	// three standard deviations of a median of n samples, over the square root of n.
	noiseFactor = 4.7
	// recovered is the share of the tolerance below which a limit may rise.
	recovered = 0.5
	// fallInterval is how long an endpoint must have been slow before its limit falls: what
	// slows all endpoints down shows at each of them within that time. It is also the shortest
	// time between two falls, and riseInterval the one before a rise.
	fallInterval = time.Second
	riseInterval = 500 * time.Millisecond
	// ceilingWait is the time after a fall before the limit from which it fell is tried again.
	// It doubles with each further fall from there or below, up to maxCeilingWait.
	ceilingWait    = 4 * time.Second
	maxCeilingWait = 16 * time.Second
	// minLoad is the used share of the limit below which an endpoint is not slow by its load.
	minLoad = 0.5
	// maxFall is the share of a limit that it keeps at least when it falls.
	maxFall = 0.5
	// lowLoad is the used share of the slots up to which the answers of an endpoint show its
	// best.
	lowLoad = 0.25
	// bestDown is the weight of a faster answer in the moving average of an endpoint's best,
	// bestUp that of a slower one, and bestUpLow that of a slower one at low load, which no
	// load explains.
	bestDown  = 0.05
	bestUp    = 0.01
	bestUpLow = 0.1
	// loadTime is the time constant of an endpoint's load, less than most streams take.
	loadTime = time.Second
	// promptShare is the share of its time that an endpoint spends on prompts while there are
	// any; the rest goes to the events of other requests.
	promptShare = 0.8
	// relief is the share of the excess that a lower limit must take away. If it does not, the
	// load is not what makes the endpoint slow.
	relief = 0.25
	// maxSlowness bounds how much slower, or faster, than the median an endpoint can appear.
	maxSlowness = 20.0
	// maxPending bounds the requests whose start is awaited, above the slots of any endpoint.
	maxPending = 1024
	// maxPrediction bounds predicted times. Requests take minutes at most.
	maxPrediction = 24 * time.Hour
)

// Endpoint is what is known of one endpoint.
type Endpoint struct {
	limiter *Limiter
	slots   int
	limit   int
	cold    bool
	pending []pending
	// samples are the last ones, the oldest first. slowness is the median of their
	// logarithms.
	samples  []sample
	slowness float64
	// best is the logarithm of the slowness at low load, known when hasBest is set. It is a
	// guess until tried is set: until enough answers came at low load, or a fall has shown
	// whether the load makes the endpoint slow. low counts the answers at low load, lowSum is
	// the sum of their values.
	best        float64
	hasBest     bool
	tried       bool
	low, lowSum float64
	// running and prompting are the decayed averages of the requests in flight and of the share
	// of the time in which prompts were processed.
	running, prompting float64
	lastRunning        int
	// backlog is the estimated number of prompt tokens to process.
	backlog   float64
	at        time.Time
	changedAt time.Time
	// settledAt is when the load was last above the limit, or the limit changed, and fresh the
	// number of samples since.
	settledAt time.Time
	fresh     int
	// slowSince is since when the endpoint has been slower than its load explains, zero when
	// it is not.
	slowSince time.Time
	// former and formerSlowness are the limit and the slowness before a fall whose effect is
	// awaited, former is 0 when none is. A fall by little shows too little.
	former         int
	formerSlowness float64
	// draining is the number of requests from before the last fall that are in flight.
	draining int
	// ceiling is the limit that was too high at fellAt, 0 when none was. It is not tried again
	// for the time wait.
	ceiling int
	fellAt  time.Time
	wait    time.Duration
}

// pending is a request whose answer has not started.
type pending struct {
	prompt, ahead, running int
}

// sample is the mean logarithm of the time that n answers took relative to the one that is
// expected of an endpoint of median speed with the same load, and the mean of their load.
type sample struct {
	at             time.Time
	value, running float64
	n              float64
}

func (s *sample) add(value, running float64) {
	s.n++
	s.value += (value - s.value) / s.n
	s.running += (running - s.running) / s.n
}

func median(samples []sample) float64 {
	values := make([]float64, 0, maxSamples)
	for _, s := range samples {
		values = append(values, s.value)
	}
	return lowerMedian(values)
}

// Configure sets the slots and whether the endpoint is cold.
func (e *Endpoint) Configure(now time.Time, slots int, cold bool) {
	if e.cold != cold {
		e.Reset(now)
	}
	e.cold = cold
	if slots == e.slots {
		return
	}
	// A limit that has fallen stays, also when it is as high as the slots for a moment.
	if e.limit == e.slots && e.ceiling == 0 || e.limit > slots {
		e.limit = slots
	}
	e.slots = slots
}

// Reset forgets all that was learned, for another incarnation.
func (e *Endpoint) Reset(now time.Time) {
	was := e.limit
	*e = Endpoint{limiter: e.limiter, slots: e.slots, limit: e.slots, cold: e.cold}
	if was != e.limit {
		e.record(now, Forgotten)
	}
}

// Limit returns how many requests the endpoint should have in flight, from 1 to its slots.
func (e *Endpoint) Limit() int { return e.limit }

// Placed records that a request with a prompt of some tokens was sent. ahead are the tokens of
// the requests before it, running the requests in flight with it.
func (e *Endpoint) Placed(now time.Time, prompt, ahead, running int) {
	e.advance(now, running)
	e.backlog += float64(prompt)
	if prompt > 0 && len(e.pending) < maxPending {
		e.pending = append(e.pending, pending{prompt: prompt, ahead: ahead, running: running})
	}
}

// Started records that an answer has started, first after it was sent. tokens are those that
// the endpoint had to process until then, for a request that was not Placed.
func (e *Endpoint) Started(now time.Time, prompt, tokens int, first time.Duration) {
	running := float64(e.lastRunning)
	if p, ok := e.takePending(prompt); ok {
		tokens, running = p.ahead+p.prompt, float64(p.running)
	}
	e.advance(now, e.lastRunning)
	e.dropBacklog()
	e.observe(now, &e.limiter.starts, float64(tokens), first.Seconds(), running)
}

// takePending removes the oldest request that has a prompt of that size.
func (e *Endpoint) takePending(prompt int) (pending, bool) {
	i := slices.IndexFunc(e.pending, func(p pending) bool { return p.prompt == prompt })
	if i < 0 {
		return pending{}, false
	}
	p := e.pending[i]
	e.pending = slices.Delete(e.pending, i, i+1)
	return p, true
}

// dropBacklog limits the backlog to the prompts whose start is awaited.
func (e *Endpoint) dropBacklog() {
	left := 0.0
	for _, p := range e.pending {
		left += float64(p.prompt)
	}
	e.backlog = min(e.backlog, left)
}

// Answer is the end of a request.
type Answer struct {
	// Prompt is the size of the prompt when the answer never started, else 0.
	Prompt int
	// Pace is the time per event of a stream, or the time of a whole answer, 0 when the
	// answer shows nothing about the speed.
	Pace time.Duration
	// Running is the number of requests in flight without this one.
	Running int
}

// Ended records the end of a request.
func (e *Endpoint) Ended(now time.Time, a Answer) {
	e.advance(now, a.Running)
	if a.Prompt > 0 {
		e.takePending(a.Prompt)
		e.dropBacklog()
	}
	e.draining = max(e.draining-1, 0)
	if a.Pace <= 0 {
		return
	}
	seconds := a.Pace.Seconds() * (1 - promptShare*e.prompting)
	e.observe(now, &e.limiter.paces, e.running/float64(e.slots), seconds, e.running)
}

// advance updates the averages of the load.
func (e *Endpoint) advance(now time.Time, running int) {
	elapsed := now.Sub(e.at)
	e.at = now
	if elapsed > 0 {
		keep := math.Exp(-float64(elapsed) / float64(loadTime))
		e.running = e.running*keep + float64(e.lastRunning)*(1-keep)
		busy := 0.0
		if each := e.limiter.starts.slope() * e.Slowness(now); each > 0 && e.backlog > 0 {
			busy = min(e.backlog*each/elapsed.Seconds(), 1)
			e.backlog -= busy * elapsed.Seconds() / each
		}
		e.prompting = e.prompting*keep + busy*(1-keep)
	}
	e.lastRunning = running
}

// observe adds a sample, and lowers the limit if the answers call for it.
func (e *Endpoint) observe(now time.Time, m *model, x, seconds, running float64) {
	if seconds <= 0 {
		return
	}
	l := e.limiter
	l.refresh(now)
	expected := m.predict(x)
	m.observe(x, seconds/e.Slowness(now))
	if expected <= 0 {
		return
	}
	limit := math.Log(maxSlowness)
	value := min(max(math.Log(seconds/expected), -limit), limit)
	if n := len(e.samples); n > 0 && now.Sub(e.samples[n-1].at) < sampleInterval {
		e.samples[n-1].add(value, running)
		e.slowness = median(e.recent(now))
		return
	}
	if n := len(e.samples); n >= minSamples {
		l.spread += spreadWeight * (math.Abs(e.samples[n-1].value-e.slowness) - l.spread)
	}
	if len(e.samples) == maxSamples {
		e.samples = slices.Delete(e.samples, 0, 1)
	}
	e.samples = append(e.samples, sample{at: now, value: value, running: running, n: 1})
	e.slowness = median(e.recent(now))
	e.fresh++
	if e.lastRunning > e.limit || e.draining > 0 && now.Sub(e.changedAt) < sampleAge {
		e.settledAt, e.fresh = now, 0
	}
	if e.cold || len(e.samples) < minSamples {
		return
	}
	if e.updateBest(value, running); !e.hasBest {
		return
	}
	if !e.restore(now) {
		e.fall(now)
	}
}

// recent returns the samples that are not older than sampleAge, and at least minSamples if there
// are so many.
func (e *Endpoint) recent(now time.Time) []sample {
	n := len(e.samples)
	first := max(n-minSamples, 0)
	for first > 0 && now.Sub(e.samples[first-1].at) <= sampleAge {
		first--
	}
	return e.samples[first:]
}

// updateBest updates the best of the endpoint. It follows faster answers at any load, and
// slower ones at low load.
func (e *Endpoint) updateBest(value, running float64) {
	low := running <= max(lowLoad*float64(e.slots), 1)
	switch {
	case !e.tried && low:
		e.low++
		e.lowSum += value
		if e.low >= minSamples {
			e.best, e.hasBest, e.tried = e.lowSum/e.low, true, true
		}
	case !e.hasBest && 2*e.limiter.known >= len(e.limiter.endpoints):
		// An endpoint that has had much load from the start is taken for as fast as the others
		// until a lower limit shows whether the load makes it slow.
		e.best, e.hasBest = min(e.slowness, e.limiter.slowness), true
	case !e.tried:
	case e.slowness < e.best:
		e.best += bestDown * (e.slowness - e.best)
	case low:
		e.best += bestUpLow * (e.slowness - e.best)
	default:
		e.best += bestUp * (e.slowness - e.best)
	}
}

// stretch returns the logarithm of the factor by which the endpoint is slower than at its best.
func (e *Endpoint) stretch() float64 { return e.slowness - e.best }

// excess returns the stretch beyond that of the other endpoints, and whether enough new answers
// have come to tell.
func (e *Endpoint) excess(now time.Time) (float64, bool) {
	n := len(e.samples)
	if e.cold || !e.hasBest || min(n, e.fresh) < minSamples || now.Sub(e.samples[n-minSamples].at) > sampleAge {
		return 0, false
	}
	e.limiter.refresh(now)
	return median(e.samples[n-min(n, e.fresh):]) - e.best - e.limiter.stretch, true
}

// fall lowers the limit if the answers are slower than the load explains.
func (e *Endpoint) fall(now time.Time) {
	excess, known := e.excess(now)
	switch {
	case !known || excess <= e.limiter.tolerance(len(e.samples)):
		e.slowSince = time.Time{}
		return
	case e.slowSince.IsZero():
		e.slowSince = now
	}
	if e.limit <= 1 || now.Sub(e.slowSince) < fallInterval || now.Sub(e.settledAt) < fallInterval {
		return
	}
	if !e.tried && !e.limiter.mayTry() {
		return
	}
	load := 0.0
	for _, s := range e.samples {
		load += s.running / float64(len(e.samples))
	}
	if load = min(load, float64(e.limit)); load < minLoad*float64(e.limit) {
		return
	}
	former := e.limit
	e.limit = max(min(int(load*math.Exp(-excess)), e.limit-1), int(maxFall*float64(e.limit)), 1)
	if !e.tried || float64(e.limit) <= maxFall*float64(former) {
		e.former, e.formerSlowness = former, e.slowness
	}
	e.wait = min(max(2*e.wait, ceilingWait), maxCeilingWait)
	e.ceiling, e.fellAt, e.draining = former, now, e.lastRunning
	e.record(now, Slow)
}

// restore takes a fall back if the endpoint is hardly faster since, and reports whether it did.
// What it is with the lower limit is then its best, and also when its best was a guess.
func (e *Endpoint) restore(now time.Time) bool {
	if e.former == 0 || e.fresh < minSamples || now.Sub(e.settledAt) < fallInterval {
		return false
	}
	fresh := median(e.samples[len(e.samples)-min(e.fresh, len(e.samples)):])
	former, faster := e.former, e.formerSlowness-fresh > relief*(e.formerSlowness-e.best)
	if !e.tried || !faster {
		e.best = max(fresh, e.best)
	}
	e.former, e.tried = 0, true
	if faster {
		return false
	}
	e.limit, e.ceiling, e.wait = min(former, e.slots), 0, 0
	e.record(now, Restored)
	return true
}

// Probe raises the limit, which is reached while requests wait, by one if the answers are as
// fast as expected, and reports whether it did.
func (e *Endpoint) Probe(now time.Time) bool {
	if e.limit >= e.slots || now.Sub(e.changedAt) < riseInterval || e.limit+1 >= e.ceiling && now.Sub(e.fellAt) < e.wait {
		return false
	}
	excess, known := e.excess(now)
	// Without answers for sampleAge nothing speaks against it.
	if !known && now.Sub(e.changedAt) < sampleAge {
		return false
	}
	if known && excess > recovered*e.limiter.tolerance(len(e.samples)) {
		return false
	}
	e.limit++
	e.former = 0
	if e.limit > e.ceiling {
		e.ceiling, e.wait = 0, 0
	}
	e.record(now, Probing)
	return true
}

func (e *Endpoint) record(now time.Time, why Reason) {
	e.changedAt, e.settledAt, e.fresh = now, now, 0
	if l := e.limiter; len(l.changes) < maxChanges {
		l.changes = append(l.changes, Change{Endpoint: e, Limit: e.limit, Slots: e.slots, Reason: why})
	}
}

// current returns the logarithm of the slowness. Without answers it becomes that of the
// endpoint's best.
func (e *Endpoint) current(now time.Time) float64 {
	if len(e.samples) == 0 {
		return 0
	}
	age := now.Sub(e.samples[len(e.samples)-1].at) - sampleAge
	if age <= 0 || !e.hasBest {
		return e.slowness
	}
	return e.best + (e.slowness-e.best)*math.Exp(-float64(age)/float64(forgetTime))
}

// Slowness returns the time that answers take relative to an endpoint of median speed with the
// same load, 1 when unknown.
func (e *Endpoint) Slowness(now time.Time) float64 {
	n := float64(len(e.samples))
	if n == 0 {
		return 1
	}
	e.limiter.refresh(now)
	relative := e.current(now) - e.limiter.slowness
	if n < minSamples {
		// Few samples show less than the difference that they have.
		relative *= n / (n + 1)
	}
	return min(max(math.Exp(relative), 1/maxSlowness), maxSlowness)
}

// StartTime predicts the time to the start of an answer for a number of prompt tokens to
// process until then, 0 when unknown.
func (e *Endpoint) StartTime(now time.Time, tokens int) time.Duration {
	return duration(e.limiter.starts.predict(float64(tokens)) * e.Slowness(now))
}

// EventTime predicts the time per event of a stream while all slots are used, 0 when unknown.
func (e *Endpoint) EventTime(now time.Time) time.Duration {
	return duration(e.limiter.paces.predict(1) * e.Slowness(now))
}

// duration returns a predicted time, which is bounded so that it does not overflow.
func duration(seconds float64) time.Duration {
	return time.Duration(min(seconds, maxPrediction.Seconds()) * float64(time.Second))
}
