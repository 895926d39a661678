package srmember

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// disjoint reports whether two observers can have majorities without a common
// instance.
func disjoint(now, then time.Time, linger time.Duration, a, b *voters) bool {
	all := make(map[string]bool)
	count := func(v *voters, now time.Time) (size, votes int) {
		votes, size = v.count(now, linger, func(address string) bool {
			all[address] = true
			return true
		})
		return size, votes
	}
	sizeA, votesA := count(a, now)
	sizeB, votesB := count(b, then)
	needA, needB := sizeA/2+1, sizeB/2+1
	return needA <= votesA && needB <= votesB && needA+needB <= len(all)
}

// updateRandomly applies random lists to two observers, of which b receives each
// list skew seconds after a, and reports whether they ever had disjoint majorities.
func updateRandomly(t *rapid.T, linger time.Duration, skew int) (a, b *voters, found bool) {
	a, b = &voters{}, &voters{}
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
		a.update(now, linger, lists[step])
		b.update(now, linger, lists[max(0, step-skew)])
		found = found || disjoint(now, now, linger, a, b)
	}
	return a, b, found
}

func TestMajoritiesOfListsOfDifferentAgeIntersect(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		skew := rapid.IntRange(0, 4).Draw(t, "skew")
		_, _, found := updateRandomly(t, time.Duration(skew)*time.Second, skew)
		assert.Assert(t, !found)
	})
}

// TestMajoritiesOfListsWithoutLingerNeedNotIntersect checks that the property above
// depends on linger: majorities of 3 and of 5 instances can be disjoint.
func TestMajoritiesOfListsWithoutLingerNeedNotIntersect(t *testing.T) {
	small, large := &voters{}, &voters{}
	list := func(n int) []sr.Instance {
		var in []sr.Instance
		for i := range n {
			in = append(in, sr.Instance{Address: fmt.Sprint(i)})
		}
		return in
	}
	for _, linger := range []time.Duration{0, time.Second} {
		small.update(start, linger, list(3))
		large.update(start, linger, list(3))
		large.update(start.Add(time.Second/2), linger, list(5))
		now := start.Add(time.Second)
		assert.Equal(t, disjoint(now, now, linger, small, large), linger == 0)
	}
}
