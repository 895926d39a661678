// Package srclock reads a clock that goes on while the machine is suspended, so
// that the age of a fact never looks shorter than it is.
//
// # Usage
//
//	since := srclock.Now().Sub(learned)
package srclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Clock tells the time. Values of one clock can be compared with each other only.
type Clock func() time.Time

// Now returns the time since the machine started, as a time that is of use for
// differences only.
func Now() time.Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		// Every kernel that Go supports has the clock.
		panic("srclock: " + err.Error())
	}
	return time.Unix(ts.Unix())
}
