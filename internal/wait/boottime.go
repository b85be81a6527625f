package wait

import (
	"time"

	"golang.org/x/sys/unix"
)

// BootTime returns the time since the VM was booted, including the time for which
// it was suspended.
func BootTime() time.Duration {
	var now unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &now); err != nil {
		// Every Linux version that Go supports has this clock.
		panic(err)
	}
	return time.Duration(now.Nano())
}
