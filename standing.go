package pomelorelay

import "time"

// Standing limits what a client account gets beyond its share of the capacity; the zero value limits nothing.
type Standing struct {
	// Withheld is the fraction of the usual limits that the account's requests may not use, from 0 to 1, because accounts that request less than the fair
	// level are owed service.
	Withheld float64
	// Behind is an account that requests more than it gets and that has got so much less than this one that this one gets nothing more beyond its
	// share; empty if there is none.
	Behind AccountID
	// Wait is the time, if Behind is set, until the account's past service counts so little that it may get more again.
	Wait time.Duration
}

// Limited reports whether the account's requests are limited.
func (s Standing) Limited() bool { return s.Withheld > 0 || s.Behind != "" }
