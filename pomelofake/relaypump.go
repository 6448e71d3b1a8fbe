package pomelofake

import (
	"net"
	"sync"
	"time"
)

const (
	relayChunk = 32 << 10
	// relayQueue bounds the chunks under way in one direction; a full queue slows the sender, as a full window does.
	relayQueue = 64
)

// chunk is a piece of bytes that is due at a time.
type chunk struct {
	data []byte
	due  time.Time
}

// pump passes bytes on both ways until either side ends.
func (r *Relay) pump(link *relayLink) {
	var both sync.WaitGroup
	both.Go(func() {
		defer link.close()
		r.oneWay(link, link.near, link.far, func(rule RelayRule) RelayEffect { return rule.Toward })
	})
	both.Go(func() {
		defer link.close()
		r.oneWay(link, link.far, link.near, func(rule RelayRule) RelayEffect { return rule.Back })
	})
	both.Wait()
}

// oneWay reads in one goroutine and writes in another, so that a delay does not lower the throughput.
func (r *Relay) oneWay(link *relayLink, from, to net.Conn, effect func(RelayRule) RelayEffect) {
	chunks := make(chan chunk, relayQueue)
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		defer close(done)
		defer link.close()
		r.write(link, to, chunks, effect)
	})
	r.read(link, from, chunks, done, effect)
	close(chunks)
	writer.Wait()
}

func (r *Relay) read(link *relayLink, from net.Conn, chunks chan<- chunk, done <-chan struct{}, effect func(RelayRule) RelayEffect) {
	for {
		data := make([]byte, relayChunk)
		n, err := from.Read(data)
		if n > 0 {
			delay := r.effect(link, effect).Delay
			select {
			case chunks <- chunk{data[:n], time.Now().Add(delay)}:
			case <-done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) effect(link *relayLink, effect func(RelayRule) RelayEffect) RelayEffect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return effect(r.rule(link.source))
}

func (r *Relay) write(link *relayLink, to net.Conn, chunks <-chan chunk, effect func(RelayRule) RelayEffect) {
	dropped := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		now, open := r.unblocked(link, effect)
		if !open || dropped && !now.Drop {
			return
		}
		if now.Drop {
			dropped = true
			continue
		}
		// Counted first: who has got the bytes may ask for the count before this goroutine goes on.
		r.count(len(c.data))
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

func (r *Relay) count(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.passed += int64(n)
}

// unblocked waits while the rule blocks and returns the effect then; it reports false when the relay or the link ended.
func (r *Relay) unblocked(link *relayLink, effect func(RelayRule) RelayEffect) (RelayEffect, bool) {
	for {
		r.mu.Lock()
		now := effect(r.rule(link.source))
		cut := r.closed || r.rule(link.source).Cut
		changed := r.changed
		r.mu.Unlock()
		if cut {
			return now, false
		}
		if !now.Block {
			return now, true
		}
		<-changed
	}
}
