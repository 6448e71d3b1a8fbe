package pomelospeed

import (
	"math"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// PrefillRate is a reading speed in tokens a millisecond.
type PrefillRate float64

const (
	// leastRate and mostRate bound what is learnt, so that a few odd answers cannot make an engine look stopped or endless.
	leastRate PrefillRate = 0.5
	mostRate  PrefillRate = 5000
	// startOverhead is the first guess of what an answer needs besides reading: some decoding steps and the network.
	startOverhead = 30 * time.Millisecond
	// guessWeight is the number of answers that the first guess of the rate counts for, and startWeight that of the overhead, which
	// differs less between engines; half a second of a fleet's answers outweighs both.
	guessWeight = 1
	startWeight = 6
	// guessSpan is the reading time at which the second point stands until answers are seen.
	guessSpan = 200 * time.Millisecond
	// fadeTime is the time in which half of what was seen is forgotten: step times change with what runs.
	fadeTime = 4 * time.Second
	// leastSeen is the number of answers below which nothing is forgotten, so that a fleet in a calm hour keeps its estimate.
	leastSeen = 50
	// mostNews bounds the number of answers that one report of another router may count for: its first one sums up all since its start.
	mostNews = 200
	// oddRatio is how many times longer or shorter than expected an answer may be to count in full: an engine that stood still says
	// nothing of how fast it reads. With fewer answers than sureAnswers the line itself may be as far off.
	oddRatio    = 4
	sureAnswers = 30
	// quickerAnswers is the number of answers that let the rate be once more the first guess above it.
	quickerAnswers = 4
)

// FirstTokenModel is the time to the first token as a straight line over the prompt tokens to be read, fitted to the answers of all routers.
type FirstTokenModel struct {
	guess PrefillRate
	own   pomelorelay.SpeedSums
	seen  pomelorelay.SpeedSums
	at    time.Time
	// overhead and perToken are in milliseconds.
	overhead, perToken float64
}

// NewFirstTokenModel returns a Line that expects engines to read at the rate until it has seen answers.
func NewFirstTokenModel(guess PrefillRate) *FirstTokenModel {
	l := &FirstTokenModel{}
	l.SetPriorRate(guess)
	return l
}

// SetPriorRate replaces the first guess.
func (l *FirstTokenModel) SetPriorRate(guess PrefillRate) {
	l.guess = min(max(guess, leastRate), mostRate)
	l.fit()
}

// PrefillRate returns how fast an engine reads.
func (l *FirstTokenModel) PrefillRate() PrefillRate { return PrefillRate(1 / l.perToken) }

// Overhead returns the time to the first token of a prompt of no length at an engine where nothing waits.
func (l *FirstTokenModel) Overhead() time.Duration { return duration(l.overhead) }

// ExpectedTime returns the time to the first token of an engine that has to read so many tokens before it, the request's own among them.
func (l *FirstTokenModel) ExpectedTime(tokens float64) time.Duration { return duration(l.overhead + l.perToken*tokens) }

// Observe takes the time to the first token that this router saw.
func (l *FirstTokenModel) Observe(now time.Time, tokens float64, took time.Duration) {
	expected := l.overhead + l.perToken*tokens
	odd := oddRatio * max(1, sureAnswers/(l.seen.Answers+1))
	y := min(max(milliseconds(took), expected/odd), expected*odd)
	w := l.weight(tokens)
	s := pomelorelay.SpeedSums{Answers: 1, Weight: w, Read: w * tokens, Took: w * y, ReadRead: w * tokens * tokens, ReadTook: w * tokens * y}
	l.own = plus(l.own, s, 1)
	l.see(now, s)
}

// weight is what an answer that read so many tokens counts: a wait of twice the length varies twice as much.
func (l *FirstTokenModel) weight(tokens float64) float64 {
	times := 1 + l.perToken*tokens/milliseconds(startOverhead)
	return 1 / (times * times)
}

// LocalSums returns the sums of this router's answers since its start.
func (l *FirstTokenModel) LocalSums() pomelorelay.SpeedSums { return l.own }

// Merge takes what another router's sums have grown by.
func (l *FirstTokenModel) Merge(now time.Time, before, after pomelorelay.SpeedSums) {
	news := plus(after, before, -1)
	if !sound(news) {
		return
	}
	if news.Answers > mostNews {
		news = plus(pomelorelay.SpeedSums{}, news, mostNews/news.Answers)
	}
	l.see(now, news)
}

// sound reports whether sums can be those of answers; a router that reports others must not spoil what this one has seen.
func sound(s pomelorelay.SpeedSums) bool {
	return s.Answers > 0 && s.Weight > 0 && s.Read >= 0 && s.Took > 0 && s.Took <= s.Weight*milliseconds(mostTook) && s.ReadTook >= 0 && s.ReadTook <= s.Read*milliseconds(mostTook) &&
		s.Read*s.Read <= s.Weight*s.ReadRead*(1+rounding)
}

// mostTook is longer than anybody waits for a first token.
const mostTook = time.Hour

// rounding is how far sums may be off by the rounding of numbers.
const rounding = 1e-6

func (l *FirstTokenModel) see(now time.Time, s pomelorelay.SpeedSums) {
	if l.at.IsZero() {
		l.at = now
	}
	if passed := now.Sub(l.at); passed > 0 && l.seen.Answers > leastSeen {
		keep := max(math.Exp2(-float64(passed)/float64(fadeTime)), leastSeen/l.seen.Answers)
		l.seen = plus(pomelorelay.SpeedSums{}, l.seen, keep)
	}
	l.at = now
	l.seen = plus(l.seen, s, 1)
	l.fit()
}

// fit draws the line of least squares through what was seen and the first guess.
func (l *FirstTokenModel) fit() {
	s := plus(l.guessed(), l.seen, 1)
	spread := s.Weight*s.ReadRead - s.Read*s.Read
	slope := (s.Weight*s.ReadTook - s.Read*s.Took) / spread
	overhead := (s.Took - slope*s.Read) / s.Weight
	// Comparisons are false where sums give no number, as those of a faulty router.
	if !(overhead >= 0) {
		overhead, slope = 0, s.ReadTook/s.ReadRead
	}
	least, most := l.bounds()
	if !(slope >= 1/float64(most)) {
		slope = 1 / float64(most)
	}
	before := l.weight(l.middle())
	l.perToken = min(slope, 1/float64(least))
	l.overhead = max(overhead, 1)
	// What was seen before was weighed by another slope. Left as it is, the first few answers at slow engines would outweigh a hundred later ones.
	l.seen = reweighed(l.seen, l.weight(l.middle())/before)
}

// bounds returns the rates between which the line may be: the first few answers, perhaps behind unreported queues, must not make
// reading look free.
func (l *FirstTokenModel) bounds() (least, most PrefillRate) {
	answers := PrefillRate(l.seen.Answers)
	return max(leastRate, l.guess/(1+answers)), min(mostRate, l.guess*(1+answers/quickerAnswers))
}

// middle returns about how many tokens the answers read that were seen.
func (l *FirstTokenModel) middle() float64 {
	if l.seen.Weight <= 0 {
		return 0
	}
	return math.Sqrt(l.seen.ReadRead / l.seen.Weight)
}

func reweighed(s pomelorelay.SpeedSums, times float64) pomelorelay.SpeedSums {
	answers := s.Answers
	s = plus(pomelorelay.SpeedSums{}, s, times)
	s.Answers = answers
	return s
}

// guessed returns the first guess as answers at two points of its line: at no tokens, and at about as many as the answers read that were
// seen. Further out, it would outweigh many answers.
func (l *FirstTokenModel) guessed() pomelorelay.SpeedSums {
	at, mean := milliseconds(guessSpan)*float64(l.guess), 1.0
	if l.seen.Answers > 0 {
		at = max(l.middle(), 1)
		mean = l.seen.Weight / l.seen.Answers
	}
	low := milliseconds(startOverhead)
	high := low + at/float64(l.guess)
	w, v := startWeight*mean, guessWeight*mean
	return pomelorelay.SpeedSums{Weight: w + v, Read: v * at, Took: w*low + v*high, ReadRead: v * at * at, ReadTook: v * at * high}
}

// plus returns the sums of a and so many times b.
func plus(a, b pomelorelay.SpeedSums, times float64) pomelorelay.SpeedSums {
	return pomelorelay.SpeedSums{
		Service: a.Service,
		Answers: a.Answers + times*b.Answers, Weight: a.Weight + times*b.Weight, Read: a.Read + times*b.Read,
		Took: a.Took + times*b.Took, ReadRead: a.ReadRead + times*b.ReadRead, ReadTook: a.ReadTook + times*b.ReadTook,
	}
}

func milliseconds(d time.Duration) float64 { return float64(d) / float64(time.Millisecond) }

func duration(ms float64) time.Duration { return time.Duration(ms * float64(time.Millisecond)) }
