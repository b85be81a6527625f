package lease

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM was started, suspensions included.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// The clock exists on every Linux that Go runs on.
		panic(err)
	}
	return time.Duration(now.Nano())
}
