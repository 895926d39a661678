package srbench

import (
	"container/list"

	sr "github.com/sassafrasrail/sassafrasrail"
)

// maxEvents bounds the cache events that wait for the next load report. Events
// above it are dropped and leave a gap in the sequence numbers.
const maxEvents = 4096

// cache is an engine's cache of prefix blocks with LRU eviction.
type cache struct {
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
	seq    uint64
	events []sr.CacheEvent
}

func newCache(size int) *cache {
	return &cache{size: size, order: list.New(), blocks: make(map[uint64]*list.Element)}
}

// cachedPrefix returns the number of leading blocks of a chain that are cached.
func (c *cache) cachedPrefix(chain []uint64) int {
	for i, b := range chain {
		if _, ok := c.blocks[b]; !ok {
			return i
		}
	}
	return len(chain)
}

// add caches a chain. It touches the blocks from the last to the first, so that
// eviction removes the end of a chain first.
func (c *cache) add(chain []uint64) {
	for i := len(chain) - 1; i >= 0; i-- {
		b := chain[i]
		if element, ok := c.blocks[b]; ok {
			c.order.MoveToFront(element)
			continue
		}
		c.blocks[b] = c.order.PushFront(b)
		c.record(b, true)
	}
	for len(c.blocks) > c.size {
		b := c.order.Remove(c.order.Back()).(uint64)
		delete(c.blocks, b)
		c.record(b, false)
	}
}

func (c *cache) record(block uint64, added bool) {
	c.seq++
	if len(c.events) < maxEvents {
		c.events = append(c.events, sr.CacheEvent{Seq: c.seq, Block: block, Added: added})
	}
}
