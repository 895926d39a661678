package srforward

import (
	"math/rand/v2"
	"sync"
)

// random draws numbers for several goroutines.
type random struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{r: rand.New(rand.NewPCG(seed, seed))}
}

// below returns a number from 0 to n-1.
func (r *random) below(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.IntN(n)
}
