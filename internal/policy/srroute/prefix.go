package srroute

import "math/bits"

const (
	// prefixWays is the number of blocks that share a set.
	prefixWays = 8
	// prefixHolders is the number of endpoints kept per block.
	prefixHolders = 8
	// prefixDense is the number of leading blocks that are all recorded;
	// behind them half as many again are recorded per doubling.
	prefixDense = 32
)

// holder says that an endpoint cached a block when its count of new blocks
// stood at touched.
type holder struct {
	endpoint int32
	touched  uint32
}

const noEndpoint int32 = -1

type prefixEntry struct {
	block   uint64
	tick    uint64
	holders [prefixHolders]holder
}

// prefixes is a set-associative table from blocks to the endpoints that are
// expected to cache them. Its size is fixed.
type prefixes struct {
	entries []prefixEntry
	sets    uint64
	tick    uint64
}

func newPrefixes(blocks int) *prefixes {
	sets := uint64(1) << bits.Len(uint(max(1, blocks/prefixWays)-1))
	return &prefixes{entries: make([]prefixEntry, sets*prefixWays), sets: sets}
}

func (p *prefixes) set(block uint64) []prefixEntry {
	i := (mix(block) & (p.sets - 1)) * prefixWays
	return p.entries[i : i+prefixWays]
}

// find returns the entry of block, nil when there is none.
func (p *prefixes) find(block uint64) *prefixEntry {
	set := p.set(block)
	for i := range set {
		if set[i].block == block && set[i].tick != 0 {
			return &set[i]
		}
	}
	return nil
}

// open returns the entry of block and replaces the oldest of its set when
// there is none.
func (p *prefixes) open(block uint64) *prefixEntry {
	p.tick++
	if e := p.find(block); e != nil {
		e.tick = p.tick
		return e
	}
	set := p.set(block)
	oldest := &set[0]
	for i := range set {
		if set[i].tick < oldest.tick {
			oldest = &set[i]
		}
	}
	return p.reset(oldest, block)
}

// openFree returns the entry of block, or a new one when its set has room.
func (p *prefixes) openFree(block uint64) *prefixEntry {
	if e := p.find(block); e != nil {
		return e
	}
	set := p.set(block)
	for i := range set {
		if set[i].tick == 0 {
			p.tick++
			return p.reset(&set[i], block)
		}
	}
	return nil
}

func (p *prefixes) reset(e *prefixEntry, block uint64) *prefixEntry {
	e.block = block
	e.tick = p.tick
	for i := range e.holders {
		e.holders[i] = holder{endpoint: noEndpoint}
	}
	return e
}

// add records a holder and drops the last of the list when it is full.
func (e *prefixEntry) add(h holder) {
	at := prefixHolders - 1
	for i, old := range e.holders {
		if old.endpoint == h.endpoint || old.endpoint == noEndpoint {
			at = i
			break
		}
	}
	copy(e.holders[1:at+1], e.holders[:at])
	e.holders[0] = h
}

// remove drops the endpoint unless it was touched after before.
func (e *prefixEntry) remove(endpoint int32, before uint32) {
	for i, h := range e.holders {
		if h.endpoint != endpoint {
			continue
		}
		if int32(h.touched-before) > 0 {
			return
		}
		copy(e.holders[i:], e.holders[i+1:])
		e.holders[prefixHolders-1] = holder{endpoint: noEndpoint}
		return
	}
}

// recorded returns the greatest recorded index at or below i, so that long
// prompts take few entries and every instance records the same ones.
func recorded(i int) int {
	if i < prefixDense {
		return i
	}
	step := 1 << (bits.Len(uint(i/prefixDense)) - 1)
	step *= 2
	return (i+1)/step*step - 1
}

// mix is a bijective finaliser that spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
