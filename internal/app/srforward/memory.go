package srforward

import "sync"

// bodyMemory limits the total size of all request bodies in memory.
type bodyMemory struct {
	mu   sync.Mutex
	free int64
}

func newBodyMemory(bytes int64) *bodyMemory { return &bodyMemory{free: bytes} }

// reserve reserves n bytes and reports whether they were available.
func (m *bodyMemory) reserve(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.free {
		return false
	}
	m.free -= n
	return true
}

func (m *bodyMemory) release(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.free += n
}
