package srroute

import "math"

const (
	// bucketsPerDoubling is the number of buckets per doubling of the length.
	bucketsPerDoubling = 2
	// lengthBuckets covers lengths up to 2^(lengthBuckets/bucketsPerDoubling) tokens.
	lengthBuckets = 36
	// maxLengthSamples is the number of samples at which all counts are halved.
	maxLengthSamples = 512
	// minLengthSamples is the number of samples from which a histogram is used.
	minLengthSamples = 8
	// lengthQuantile is the quantile used as the expected length.
	lengthQuantile = 0.6
	// longQuantile is the quantile used as the length of a long answer.
	longQuantile = 0.98
)

// histogram counts lengths in logarithmic buckets.
type histogram struct {
	counts [lengthBuckets]uint16
	total  uint16
}

func (s *histogram) add(tokens int) {
	if s.total >= maxLengthSamples {
		s.halve()
	}
	s.counts[lengthBucket(tokens)]++
	s.total++
}

func (s *histogram) halve() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// quantile returns the geometric middle of the bucket that contains quantile q, 0 when
// the histogram is empty.
func (s *histogram) quantile(q float64) int {
	remaining := q * float64(s.total)
	for i, n := range s.counts {
		remaining -= float64(n)
		if n > 0 && remaining <= 0 {
			return bucketLength(i)
		}
	}
	return 0
}

func lengthBucket(tokens int) int {
	b := int(math.Log2(float64(max(1, tokens))) * bucketsPerDoubling)
	return min(b, lengthBuckets-1)
}

func bucketLength(bucket int) int {
	return int(math.Exp2((float64(bucket) + 0.5) / bucketsPerDoubling))
}

// lengths is a table of histograms by workspace and target, with a bounded size and CLOCK
// eviction, which approximates least recently used. hand is the index of the next entry
// that may be evicted.
type lengths struct {
	index   map[uint64]int32
	entries []lengthEntry
	hand    int
	bound   int
}

type lengthEntry struct {
	key  uint64
	used bool
	histogram
}

func newLengths(bound int) *lengths {
	return &lengths{index: make(map[uint64]int32), bound: bound}
}

// find returns the histogram of key, nil when there is none.
func (l *lengths) find(key uint64) *histogram {
	i, ok := l.index[key]
	if !ok {
		return nil
	}
	l.entries[i].used = true
	return &l.entries[i].histogram
}

// getOrCreate returns the histogram of key and creates it when there is none.
func (l *lengths) getOrCreate(key uint64) *histogram {
	if s := l.find(key); s != nil {
		return s
	}
	i := l.allocate()
	l.entries[i] = lengthEntry{key: key, used: true}
	l.index[key] = int32(i)
	return &l.entries[i].histogram
}

// allocate returns the index of an unused entry and evicts one when the table is full.
func (l *lengths) allocate() int {
	if len(l.entries) < l.bound {
		l.entries = append(l.entries, lengthEntry{})
		return len(l.entries) - 1
	}
	for l.entries[l.hand].used {
		l.entries[l.hand].used = false
		l.hand = (l.hand + 1) % l.bound
	}
	i := l.hand
	l.hand = (l.hand + 1) % l.bound
	delete(l.index, l.entries[i].key)
	return i
}
