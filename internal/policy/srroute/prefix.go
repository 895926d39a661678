package srroute

import "math/bits"

const (
	// prefixWays is the number of entries per set (associativity).
	prefixWays = 8
	// locationsPerBlock is the number of locations kept per block.
	locationsPerBlock = 8
	// prefixDense is the number of leading blocks that are all recorded. Beyond them,
	// half as many are recorded for each doubling of the index.
	prefixDense = 32
)

// location is where a block is expected to be cached. In a Placer, index is that of the
// endpoint and addedAt the endpoint's blocksAdded when the block was last used there. In
// a Picker, index is that of the pool and addedAt is 0.
type location struct {
	index   int32
	addedAt uint32
}

// noLocation is the index of an unused location.
const noLocation int32 = -1

// prefixEntry holds the locations of a block, the latest first. tick is the table's tick
// at the last use, 0 for an unused entry.
type prefixEntry struct {
	block     uint64
	tick      uint64
	locations [locationsPerBlock]location
}

// prefixes is a set-associative table of fixed size from blocks to their locations. It
// evicts the least recently used entry of a set.
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
	for i := range e.locations {
		e.locations[i] = location{index: noLocation}
	}
	return e
}

// add puts a location first and drops the last one when the entry is full.
func (e *prefixEntry) add(l location) {
	at := locationsPerBlock - 1
	for i, old := range e.locations {
		if old.index == l.index || old.index == noLocation {
			at = i
			break
		}
	}
	copy(e.locations[1:at+1], e.locations[:at])
	e.locations[0] = l
}

// remove removes an endpoint, unless the block was used there since the endpoint's
// previous load report, when its blocksAdded was blocksReported.
func (e *prefixEntry) remove(endpoint int32, blocksReported uint32) {
	for i, l := range e.locations {
		if l.index != endpoint {
			continue
		}
		if int32(l.addedAt-blocksReported) > 0 {
			return
		}
		copy(e.locations[i:], e.locations[i+1:])
		e.locations[locationsPerBlock-1] = location{index: noLocation}
		return
	}
}

// lastRecorded returns the greatest index at or below i of a block that is recorded.
// Recording only some blocks keeps the entries for long prompts few. All instances record
// the same ones.
func lastRecorded(i int) int {
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
