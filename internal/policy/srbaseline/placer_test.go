package srbaseline

import (
	"testing"
	"time"

	sr "github.com/sassafrasrail/sassafrasrail"
	"gotest.tools/v3/assert"
)

func place(t *testing.T, p sr.Placer, a sr.Ask, free ...sr.Candidate) string {
	t.Helper()
	at, ok := p.Place(time.Time{}, a, free)
	assert.Assert(t, ok)
	return at.Endpoint
}

func TestRoundRobinTakesTurns(t *testing.T) {
	p := NewRoundRobin(nil)
	a, b, c := sr.Candidate{Endpoint: "a"}, sr.Candidate{Endpoint: "b"}, sr.Candidate{Endpoint: "c"}
	var got string
	for range 4 {
		got += place(t, p, sr.Ask{}, c, a, b)
	}
	assert.Equal(t, got, "abca")
	assert.Equal(t, place(t, p, sr.Ask{}, a, c), "c")
}

func TestLeastOutstandingTakesLeast(t *testing.T) {
	p := NewLeastOutstanding(nil, 1)
	seen := make(map[string]int)
	for range 100 {
		seen[place(t, p, sr.Ask{}, sr.Candidate{Endpoint: "a", Running: 2}, sr.Candidate{Endpoint: "b", Running: 1}, sr.Candidate{Endpoint: "c", Running: 1})]++
	}
	assert.Equal(t, seen["a"], 0)
	assert.Assert(t, seen["b"] > 0 && seen["c"] > 0)
}

func TestTwoChoicesAvoidsMostLoaded(t *testing.T) {
	p := NewTwoChoices(nil, 1)
	seen := make(map[string]int)
	for range 300 {
		seen[place(t, p, sr.Ask{}, sr.Candidate{Endpoint: "a", Running: 9}, sr.Candidate{Endpoint: "b"}, sr.Candidate{Endpoint: "c"})]++
	}
	assert.Assert(t, seen["a"] < seen["b"] && seen["a"] < seen["c"])
}

func TestPrefixHashIsStable(t *testing.T) {
	p := NewPrefixHash(nil)
	a, b, c := sr.Candidate{Endpoint: "a"}, sr.Candidate{Endpoint: "b"}, sr.Candidate{Endpoint: "c"}
	seen := make(map[string]int)
	for block := range uint64(60) {
		ask := sr.Ask{Blocks: []uint64{block + 1}}
		one := place(t, p, ask, a, b, c)
		assert.Equal(t, place(t, p, ask, c, b, a), one)
		seen[one]++
	}
	assert.Equal(t, len(seen), 3)
}

func TestEstimateUsesClass(t *testing.T) {
	p := NewRoundRobin(map[string]sr.Class{"x": {Prefill: 100, Decode: 10}})
	a := sr.Ask{Work: sr.Work{Prefill: 200, Decode: 30}}
	assert.Equal(t, p.Estimate(a, "x"), 5*time.Second)
}
