package pomelospeed

import (
	"math"
	"time"
)

const (
	// copyGuess is the first guess of the time to copy a token, as a part of the time to read it.
	copyGuess = 0.3
	// copyGuessTokens is the number of tokens that the guess counts for, a few prompts.
	copyGuessTokens = 20_000
	// mostCopied bounds the tokens that are remembered, some dozens of prompts.
	mostCopied = 400_000
	// mostCopyNews bounds the tokens that one report of another router may count for.
	mostCopyNews = 200_000
)

// CopySums are tokens of prompts that engines copied from others, and the time that it took, in milliseconds.
type CopySums struct {
	Tokens, Took float64
}

// Copies learns how long engines take to copy parts of prompts that others keep. What they had to read after all, since the other one
// did not keep it any more, counts as time of the copy.
type Copies struct {
	own, seen CopySums
}

// Note takes a copy of so many tokens: the time to the first token beyond what Line expects of the rest.
func (c *Copies) Note(tokens float64, beyond time.Duration) {
	s := CopySums{Tokens: tokens, Took: milliseconds(beyond)}
	c.own.add(s, 1)
	c.see(s)
}

// Own returns the sums of this router's copies since its start.
func (c *Copies) Own() CopySums { return c.own }

// Heard takes what another router's sums have grown by.
func (c *Copies) Heard(before, after CopySums) {
	news := after
	news.add(before, -1)
	if news.Tokens <= 0 {
		return
	}
	if news.Tokens > mostCopyNews {
		news = CopySums{Tokens: mostCopyNews, Took: news.Took * mostCopyNews / news.Tokens}
	}
	c.see(news)
}

func (c *Copies) see(s CopySums) {
	c.seen.add(s, 1)
	if keep := mostCopied / c.seen.Tokens; keep < 1 {
		c.seen.Tokens *= keep
		c.seen.Took *= keep
	}
}

func (s *CopySums) add(o CopySums, times float64) {
	s.Tokens += times * o.Tokens
	s.Took += times * o.Took
}

// Expect returns the time to copy so many tokens, where engines read at the rate.
func (c *Copies) Expect(tokens float64, rate Rate) time.Duration {
	guess := copyGuess / float64(rate)
	perToken := (c.seen.Took + guess*copyGuessTokens) / (c.seen.Tokens + copyGuessTokens)
	return duration(tokens * math.Max(perToken, 0))
}
