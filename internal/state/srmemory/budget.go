// Package srmemory limits the memory that a process holds for what others send to it.
//
// # Usage
//
//	budget := srmemory.NewFair(28 << 20)
//	held := budget.Hold()
//	defer held.Release()
//	if !held.Grow(int64(len(part))) {
//		return held.Refusal(int64(len(part)))
//	}
//
// Of a budget that NewFair returns, one holder may have what is free beyond a quarter of it. That
// quarter is for small holders, who may have less once an eighth of the budget is left. Many holders
// that grow without end thus leave memory for those that need little, and a single one may become
// large. Where the size of each holder is limited already, New returns one that gives what is free.
package srmemory

import (
	"sync"

	"github.com/pkg/errors"
)

var (
	// ErrUsedUp means that too little memory is free, even for a small holder.
	ErrUsedUp = errors.New("memory for input is used up")
	// ErrShare means that a large holder may not have more of the memory that is free.
	ErrShare = errors.New("input is larger than its share of the memory")
	// ErrTooLarge means that an input is larger than any may be.
	ErrTooLarge = errors.New("input is too large")
)

const (
	// reserveDivisor is the share of the budget that only small holders use, as a divisor.
	reserveDivisor = 4
	// scarceDivisor is the share of the budget that small holders divide among them, as a
	// divisor: the less of it is free, the less each may have.
	scarceDivisor = 8
	// shareDivisor is the share of the free memory that a small holder may have, as a divisor.
	shareDivisor = 8
	// leastDivisor is the share of the budget that remains whatever is charged, as a divisor.
	leastDivisor = 2
	// largeHolder is the number of bytes from which a holder is large. Most headers, events
	// and bodies are smaller, also while their buffer of 8 kB is copied to one of 16 kB.
	largeHolder = 32 << 10
)

// Budget is an amount of memory that several holders share. It is safe for concurrent use.
type Budget struct {
	size int64
	fair bool

	mu      sync.Mutex
	used    int64
	charged int64
}

// New returns a Budget of a number of bytes, all of which one holder may have.
func New(bytes int64) *Budget { return &Budget{size: bytes} }

// NewFair returns a Budget of a number of bytes that leaves memory for small holders.
func NewFair(bytes int64) *Budget { return &Budget{size: bytes, fair: true} }

// Charge adds n bytes, which may be negative, that are taken in any case, such as by
// connections. What is beyond the size of the budget leaves so much less for holders.
func (b *Budget) Charge(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.charged += n
}

// free returns the bytes that are left. The caller must hold mu.
func (b *Budget) free() int64 {
	return max(min(b.size, 2*b.size-b.charged), b.size/leastDivisor) - b.used
}

// Hold returns a new, empty reservation.
func (b *Budget) Hold() *Reservation { return &Reservation{budget: b} }

// reserve reserves n bytes for a holder of held bytes and reports whether it may have them.
func (b *Budget) reserve(held, n int64) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := b.free() - n
	if free < 0 || held+n > b.limit(free) {
		return false
	}
	b.used += n
	return true
}

// limit returns how many bytes one holder may have when free bytes are left.
func (b *Budget) limit(free int64) int64 {
	if !b.fair {
		return b.size
	}
	scarce := b.size / scarceDivisor
	small := min(largeHolder*min(free, scarce)/scarce, free/shareDivisor)
	return max(free-b.size/reserveDivisor, small)
}

func (b *Budget) release(n int64) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.used -= n
}

// Reservation is the part of a Budget that one holder has reserved. It is not safe for
// concurrent use. The zero value has no budget, and grows without a limit.
type Reservation struct {
	budget *Budget
	bytes  int64
}

// Grow reserves n further bytes and reports whether the holder may have them.
func (r *Reservation) Grow(n int64) bool {
	if r.budget != nil && !r.budget.reserve(r.bytes, n) {
		return false
	}
	r.bytes += n
	return true
}

// Refusal returns the error for a Grow(n) that has failed: ErrUsedUp or ErrShare.
func (r *Reservation) Refusal(n int64) error {
	err := ErrUsedUp
	if r.bytes >= largeHolder {
		err = ErrShare
	}
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return errors.Wrapf(err, "%d bytes held, %d more asked for, %d free of %d", r.bytes, n, r.budget.free(), r.budget.size)
}

// Shrink returns n bytes.
func (r *Reservation) Shrink(n int64) {
	if r.budget != nil {
		r.budget.release(n)
	}
	r.bytes -= n
}

// Release returns everything that is reserved. The reservation may grow again.
func (r *Reservation) Release() { r.Shrink(r.bytes) }
