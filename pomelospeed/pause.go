package pomelospeed

import (
	"math"
	"time"
)

const (
	// pauseGuess is the first guess of the part of streams that pause for too long beside an engine that reads for long, and
	// pauseGuessWeight the number of streams that it counts for.
	pauseGuess       = 0.1
	pauseGuessWeight = 4
	// pauseChance is the part of streams up to which long reading does not count, since faults make as many pause, and pauseSure the part
	// from which it counts in full.
	pauseChance = 0.02
	pauseSure   = 0.08
	// leastStreams is the number of streams below which nothing is forgotten.
	leastStreams = 100
)

// Pauses learns whether streams pause for longer than their callers accept while their engine reads for that long. Engines that read in
// short chunks, or whose events hold few tokens, go on generating beside it.
type Pauses struct {
	own, seen PauseCounts
	at        time.Time
}

// PauseCounts counts streams that ran while their engine read for long, and those among them that paused for too long.
type PauseCounts struct {
	Beside, Paused float64
}

// Note takes a stream that ran while its engine read for long.
func (p *Pauses) Note(now time.Time, paused bool) {
	c := PauseCounts{Beside: 1}
	if paused {
		c.Paused = 1
	}
	p.own.add(c, 1)
	p.see(now, c)
}

// Own returns the counts of this router's streams since its start.
func (p *Pauses) Own() PauseCounts { return p.own }

// Heard takes what another router's counts have grown by.
func (p *Pauses) Heard(now time.Time, before, after PauseCounts) {
	news := after
	news.add(before, -1)
	if news.Beside <= 0 {
		return
	}
	if news.Beside > mostNews {
		news = PauseCounts{Beside: mostNews, Paused: news.Paused * mostNews / news.Beside}
	}
	p.see(now, news)
}

func (p *Pauses) see(now time.Time, c PauseCounts) {
	if p.at.IsZero() {
		p.at = now
	}
	if passed := now.Sub(p.at); passed > 0 && p.seen.Beside > leastStreams {
		keep := max(math.Exp2(-float64(passed)/float64(fadeTime)), leastStreams/p.seen.Beside)
		p.seen = PauseCounts{Beside: keep * p.seen.Beside, Paused: keep * p.seen.Paused}
	}
	p.at = now
	p.seen.add(c, 1)
}

func (c *PauseCounts) add(o PauseCounts, times float64) {
	c.Beside += times * o.Beside
	c.Paused += times * o.Paused
}

// Weight returns how much it counts, from 0 to 1, that long reading makes streams pause.
func (p *Pauses) Weight() float64 {
	part := (p.seen.Paused + pauseGuess*pauseGuessWeight) / (p.seen.Beside + pauseGuessWeight)
	return min(max((part-pauseChance)/(pauseSure-pauseChance), 0), 1)
}
