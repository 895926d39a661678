// Package srtimer waits for a duration or until a context ends.
//
// # Usage
//
//	for srtimer.Wait(ctx, time.Second) == nil {
//		sweep()
//	}
package srtimer

import (
	"context"
	"time"
)

// Wait waits for d and returns nil, or returns the error of ctx when that ends first.
func Wait(ctx context.Context, d time.Duration) error {
	if d <= 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}
