package pomelorelay

import "time"

// Clock tells the time to parts that run goroutines of their own; decision parts take the time as an argument.
type Clock interface {
	// Now returns the current time.
	Now() time.Time
}

// SystemClock is the machine's clock.
type SystemClock struct{}

// Now returns the current time of the machine.
func (SystemClock) Now() time.Time { return time.Now() }
