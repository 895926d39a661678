package srmember

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// disjoint reports whether majorities of two observers can be without a common
// instance.
func disjoint(now, then time.Time, linger time.Duration, a, b *electorate) bool {
	all := make(map[string]bool)
	count := func(e *electorate, now time.Time) (size, voices int) {
		voices, size = e.tally(now, linger, func(address string) bool {
			all[address] = true
			return true
		})
		return size, voices
	}
	sizeA, voicesA := count(a, now)
	sizeB, voicesB := count(b, then)
	needA, needB := sizeA/2+1, sizeB/2+1
	return needA <= voicesA && needB <= voicesB && needA+needB <= len(all)
}

// histories feeds two observers that see the list a skew apart.
func histories(t *rapid.T, linger time.Duration, skew int) (a, b *electorate, found bool) {
	a, b = &electorate{}, &electorate{}
	var lists [][]sr.Instance
	list := []int{0, 1, 2}
	for step := range 20 {
		if rapid.IntRange(0, 2).Draw(t, "change") == 0 {
			list = rapid.SliceOfNDistinct(rapid.IntRange(0, 8), 1, 7, rapid.ID[int]).Draw(t, "list")
		}
		var in []sr.Instance
		for _, i := range list {
			in = append(in, sr.Instance{Address: fmt.Sprint(i)})
		}
		lists = append(lists, in)
		now := start.Add(time.Duration(step) * time.Second)
		a.add(now, linger, lists[step])
		b.add(now, linger, lists[max(0, step-skew)])
		found = found || disjoint(now, now, linger, a, b)
	}
	return a, b, found
}

func TestMajoritiesOfListsOfDifferentAgeIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skew := rapid.IntRange(0, 4).Draw(t, "skew")
		_, _, found := histories(t, time.Duration(skew)*time.Second, skew)
		assert.Assert(t, !found)
	})
}

func TestMajoritiesOfPlainListsNeedNotIntersect(t *testing.T) {
	small, large := &electorate{}, &electorate{}
	list := func(n int) []sr.Instance {
		var in []sr.Instance
		for i := range n {
			in = append(in, sr.Instance{Address: fmt.Sprint(i)})
		}
		return in
	}
	for _, linger := range []time.Duration{0, time.Second} {
		small.add(start, linger, list(3))
		large.add(start, linger, list(3))
		large.add(start.Add(time.Second/2), linger, list(5))
		now := start.Add(time.Second)
		assert.Equal(t, disjoint(now, now, linger, small, large), linger == 0)
	}
}
