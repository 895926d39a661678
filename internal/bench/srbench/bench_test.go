package srbench

import (
	"bytes"
	"testing"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"gotest.tools/v3/assert"
)

func TestRunIsDeterministic(t *testing.T) {
	p := Plan{Case: Rybomlyn(), Seed: 7, Load: 1.2, Measure: 20 * time.Second}
	var one, two bytes.Buffer
	assert.NilError(t, WriteJSON(&one, []Result{run(t, p)}))
	assert.NilError(t, WriteJSON(&two, []Result{run(t, p)}))
	assert.Equal(t, one.String(), two.String())
	p.Seed = 8
	var three bytes.Buffer
	assert.NilError(t, WriteJSON(&three, []Result{run(t, p)}))
	assert.Assert(t, one.String() != three.String())
}

func TestRunAccountsForEveryRequest(t *testing.T) {
	for _, v := range Variants() {
		r := run(t, Plan{Case: Dwarsliggers(), Variant: v, Seed: 3, Load: 1.5, Warm: time.Second, Measure: 3 * time.Second})
		for _, x := range append(r.Tiers, r.Calls) {
			assert.Equal(t, x.Good+x.Late+x.Cut+x.Shed+x.Lost, x.Offered, "%s %s", v.Name, x.Name)
		}
	}
}

func TestRunRejectsInvalidPlans(t *testing.T) {
	good := Plan{Case: Rybomlyn(), Variant: scheduler(Full), Load: 1}
	for name, change := range map[string]func(p *Plan){
		"no variant": func(p *Plan) { p.Variant = Variant{} },
		"no case":    func(p *Plan) { p.Case = Case{} },
		"no load":    func(p *Plan) { p.Load = 0 },
		"flood":      func(p *Plan) { p.Flood = "morava" },
		"order":      func(p *Plan) { p.Failure = Failure{Domain: "brno-a", Stop: 2, Boot: 1} },
	} {
		p := good
		change(&p)
		_, err := Run(p)
		assert.ErrorIs(t, err, sr.ErrInvalid, name)
	}
	p := good
	p.Failure = PlannedFailure("nowhere")
	_, err := Run(p)
	assert.ErrorIs(t, err, sr.ErrMissing)
}

func TestColdEngineCrashesUnderOverload(t *testing.T) {
	q := &eventQueue{}
	class := classes()["old"]
	e := newEngine(q, newRand(1, 1), EndpointSpec{Name: "e", Speed: 1}, class)
	e.stop()
	e.boot()
	outcomes := make(map[streamOutcome]int)
	start := func() {
		e.accept(&stream{req: &request{promptTokens: 100, outputTokens: 10}, onEnd: func(_ *stream, outcome streamOutcome) { outcomes[outcome]++ }})
	}
	for range class.Cold {
		start()
	}
	assert.Assert(t, e.up)
	start()
	assert.Assert(t, !e.up)
	assert.Equal(t, outcomes[streamBroken], class.Cold+1)
	q.run(restartTime)
	assert.Assert(t, e.up)
	assert.Equal(t, e.runID(), "e-3")
}

func TestEngineTimes(t *testing.T) {
	q := &eventQueue{}
	e := newEngine(q, newRand(1, 1), EndpointSpec{Name: "e", Speed: 1}, sr.Class{Prefill: 1000, Decode: 10, Slots: 4, Cache: 100})
	blocks := []uint64{1, 2, 3, 4, 5, 6, 7, 8}
	ends := make(map[*stream]time.Duration)
	start := func() *stream {
		s := &stream{req: &request{promptTokens: 512, outputTokens: 11, blocks: blocks}}
		s.onEnd = func(s *stream, _ streamOutcome) { ends[s] = q.now }
		e.accept(s)
		return s
	}
	one := start()
	q.run(10 * time.Second)
	assert.Equal(t, one.firstToken.Round(time.Millisecond), 512*time.Millisecond)
	assert.Equal(t, ends[one].Round(time.Millisecond), 1512*time.Millisecond)
	two := start()
	q.run(20 * time.Second)
	assert.Equal(t, two.cachedTokens, 512)
	assert.Equal(t, two.firstToken.Round(time.Millisecond), time.Millisecond)
}

func TestCacheEvictsLeastRecentlyUsed(t *testing.T) {
	c := newCache(4)
	c.add([]uint64{1, 2, 3})
	c.add([]uint64{1, 2, 4, 5})
	assert.Equal(t, c.cachedPrefix([]uint64{1, 2, 3}), 2)
	assert.Equal(t, c.cachedPrefix([]uint64{1, 2, 4, 5}), 4)
	assert.Equal(t, len(c.events), 6)
	assert.DeepEqual(t, c.events[5], sr.CacheEvent{Seq: 6, Block: 3})
}

func TestLoadOfATierDoesNotDependOnOtherTiers(t *testing.T) {
	p := Plan{Case: Rybomlyn(), Seed: 1, Load: 1}.withDefaults()
	all := make(map[int]*request)
	for _, r := range generateLoad(p) {
		all[r.id] = r
	}
	p.Only = sr.TopTier
	for _, r := range generateLoad(p) {
		assert.Equal(t, r.tier, sr.TopTier)
		assert.Equal(t, all[r.id].at, r.at)
		assert.DeepEqual(t, all[r.id].blocks, r.blocks)
	}
}

func TestLoadLengthsSpreadAHundredfold(t *testing.T) {
	least, most := 1<<30, 0
	for _, r := range generateLoad(Plan{Case: Dwarsliggers(), Seed: 1, Load: 1}.withDefaults()) {
		if r.kind == sr.KindModel {
			least, most = min(least, r.promptTokens), max(most, r.promptTokens)
		}
	}
	assert.Assert(t, most >= 100*least, "%d to %d", least, most)
}
