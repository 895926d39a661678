package srroute

import "math/bits"

const (
	// prefixWays is the number of entries per set (associativity).
	prefixWays = 8
	// prefixHolders is the number of endpoints kept per block.
	prefixHolders = 8
	// prefixDense is the number of leading blocks that are all recorded. Beyond them,
	// half as many are recorded for each doubling of the index.
	prefixDense = 32
)

// holder is an endpoint, by its index, that is expected to cache a block. addedAt is the
// endpoint's blocksAdded when the block was last used there. The Picker stores the index
// of a pool instead and no addedAt.
type holder struct {
	endpoint int32
	addedAt  uint32
}

// noEndpoint marks an unused holder.
const noEndpoint int32 = -1

// prefixEntry holds the endpoints of a block, the latest first. tick is the table's tick
// at the last use, 0 for an unused entry.
type prefixEntry struct {
	block   uint64
	tick    uint64
	holders [prefixHolders]holder
}

// prefixes is a set-associative table of fixed size from blocks to the endpoints that are
// expected to cache them. It evicts the least recently used entry of a set.
type prefixes struct {
	entries []prefixEntry
	sets    uint64
	tick    uint64
}

func newPrefixes(blocks int) *prefixes {
	sets := uint64(1) << bits.Len(uint(max(1, blocks/prefixWays)-1))
	return &prefixes{entries: make([]prefixEntry, sets*prefixWays), sets: sets}
}

// set returns the entries of the set that block belongs to.
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

// getOrCreate returns the entry of block and replaces the oldest of its set when there is
// none.
func (p *prefixes) getOrCreate(block uint64) *prefixEntry {
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

// createIfFree returns the entry of block and creates it when there is none, or returns
// nil when its set is full.
func (p *prefixes) createIfFree(block uint64) *prefixEntry {
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

// add puts a holder first and drops the last one when the entry is full.
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

// remove removes an endpoint unless the block was last used there after its blocksAdded
// was before.
func (e *prefixEntry) remove(endpoint int32, before uint32) {
	for i, h := range e.holders {
		if h.endpoint != endpoint {
			continue
		}
		if int32(h.addedAt-before) > 0 {
			return
		}
		copy(e.holders[i:], e.holders[i+1:])
		e.holders[prefixHolders-1] = holder{endpoint: noEndpoint}
		return
	}
}

// recorded returns the greatest recorded index at or below i. Recording only some blocks
// keeps the entries for long prompts few, and all instances record the same ones.
func recorded(i int) int {
	if i < prefixDense {
		return i
	}
	step := 1 << (bits.Len(uint(i/prefixDense)) - 1)
	step *= 2
	return (i+1)/step*step - 1
}

// mix is a bijective finalizer that spreads the bits of x.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
