// Package srclock reads a monotonic clock that also advances while the machine is
// suspended, so that an age computed from it is never too small.
//
// # Usage
//
//	age := srclock.Now().Sub(receivedAt)
package srclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock returns the current time. Times of different clocks cannot be compared.
type Clock func() time.Time

// Now returns the time since boot as a time.Time. Only the difference of two such
// times has a meaning.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Cannot happen: every kernel that Go supports has CLOCK_BOOTTIME.
		panic("srclock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
