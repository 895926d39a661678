package srforward

import "sync"

// memory bounds the bytes of all request bodies together.
type memory struct {
	mu   sync.Mutex
	left int64
}

func newMemory(bytes int64) *memory { return &memory{left: bytes} }

// take reserves n bytes and reports whether they were free.
func (m *memory) take(n int64) bool {
	m.mu.Lock()
	defer m.mu.Unlock()
	if n > m.left {
		return false
	}
	m.left -= n
	return true
}

func (m *memory) give(n int64) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.left += n
}
