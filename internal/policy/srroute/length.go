package srroute

import "math"

const (
	// lengthSteps is the number of buckets per doubling of the length.
	lengthSteps = 2
	// lengthBuckets covers lengths to 2^(lengthBuckets/lengthSteps) tokens.
	lengthBuckets = 36
	// lengthSamples is the number of samples after which all counts are halved.
	lengthSamples = 512
	// lengthTrust is the number of own samples a workspace needs.
	lengthTrust = 8
	// lengthQuantile is the quantile taken for the expected length.
	lengthQuantile = 0.6
	// longQuantile is the quantile taken for a long answer.
	longQuantile = 0.98
)

// sketch is a histogram of lengths with logarithmic buckets.
type sketch struct {
	counts [lengthBuckets]uint16
	total  uint16
}

func (s *sketch) add(tokens int) {
	if s.total >= lengthSamples {
		s.halve()
	}
	s.counts[lengthBucket(tokens)]++
	s.total++
}

func (s *sketch) halve() {
	s.total = 0
	for i := range s.counts {
		s.counts[i] /= 2
		s.total += s.counts[i]
	}
}

// quantile returns the geometric middle of the bucket at q.
func (s *sketch) quantile(q float64) int {
	left := q * float64(s.total)
	for i, n := range s.counts {
		left -= float64(n)
		if n > 0 && left <= 0 {
			return lengthOf(i)
		}
	}
	return 0
}

func lengthBucket(tokens int) int {
	b := int(math.Log2(float64(max(1, tokens))) * lengthSteps)
	return min(b, lengthBuckets-1)
}

func lengthOf(bucket int) int {
	return int(math.Exp2((float64(bucket) + 0.5) / lengthSteps))
}

// lengths holds a sketch per workspace and target, least recently used out.
type lengths struct {
	index   map[uint64]int32
	entries []lengthEntry
	hand    int
	bound   int
}

type lengthEntry struct {
	key  uint64
	used bool
	sketch
}

func newLengths(bound int) *lengths {
	return &lengths{index: make(map[uint64]int32), bound: bound}
}

// find returns the sketch of key, nil when there is none.
func (l *lengths) find(key uint64) *sketch {
	i, ok := l.index[key]
	if !ok {
		return nil
	}
	l.entries[i].used = true
	return &l.entries[i].sketch
}

// open returns the sketch of key, a new one when there is none.
func (l *lengths) open(key uint64) *sketch {
	if s := l.find(key); s != nil {
		return s
	}
	i := l.slot()
	l.entries[i] = lengthEntry{key: key, used: true}
	l.index[key] = int32(i)
	return &l.entries[i].sketch
}

func (l *lengths) slot() int {
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
