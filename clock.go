package pomelorelay

import "time"

// Clock supplies the time to packages that run their own goroutines; packages of pure decision logic take the time as an argument.
type Clock interface {
	// Now returns the time of this clock.
	Now() time.Time
}

// SystemClock is the Clock of the operating system.
type SystemClock struct{}

// Now returns the current system time.
func (SystemClock) Now() time.Time { return time.Now() }
