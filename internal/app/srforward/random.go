package srforward

import (
	"math/rand/v2"
	"sync"
)

// random is a source of random numbers that is safe for concurrent use.
type random struct {
	mu sync.Mutex
	r  *rand.Rand
}

func newRandom(seed uint64) *random {
	return &random{r: rand.New(rand.NewPCG(seed, seed))}
}

// intN returns a random number from 0 to n-1.
func (r *random) intN(n int) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.r.IntN(n)
}

// shuffle puts a list in random order.
func (r *random) shuffle(list []string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.r.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
}
