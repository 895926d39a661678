package srengine

import "container/list"

// cache is an LRU cache of prompt prefix blocks.
type cache struct {
	size   int
	order  *list.List
	blocks map[uint64]*list.Element
	// onChange is called for each block that is added or evicted.
	onChange func(block uint64, added bool)
}

func newCache(size int, onChange func(uint64, bool)) *cache {
	return &cache{size: size, order: list.New(), blocks: make(map[uint64]*list.Element), onChange: onChange}
}

func (c *cache) len() int { return len(c.blocks) }

// match returns the number of leading blocks that are cached, and marks them as
// recently used.
func (c *cache) match(blocks []uint64) int {
	for i, b := range blocks {
		el, ok := c.blocks[b]
		if !ok {
			return i
		}
		c.order.MoveToFront(el)
	}
	return len(blocks)
}

// add inserts the blocks of a prompt, the last one first, so that the end of a
// prefix is evicted before its beginning.
func (c *cache) add(blocks []uint64) {
	for i := len(blocks) - 1; i >= 0; i-- {
		c.insert(blocks[i])
	}
}

func (c *cache) insert(block uint64) {
	if el, ok := c.blocks[block]; ok {
		c.order.MoveToFront(el)
		return
	}
	if c.size <= 0 {
		return
	}
	if len(c.blocks) == c.size {
		c.evict()
	}
	c.blocks[block] = c.order.PushFront(block)
	c.onChange(block, true)
}

func (c *cache) evict() {
	el := c.order.Back()
	block, _ := c.order.Remove(el).(uint64)
	delete(c.blocks, block)
	c.onChange(block, false)
}
