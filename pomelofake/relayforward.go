package pomelofake

import (
	"net"
	"sync"
	"time"
)

const (
	relayChunkBytes = 32 << 10
	// relayQueueChunks is the maximum number of delayed chunks per direction; a full queue blocks the sender, as a full TCP window does.
	relayQueueChunks = 64
)

// relayChunk is data to be forwarded at a given time.
type relayChunk struct {
	data []byte
	due  time.Time
}

// forward copies bytes in both directions until either side closes.
func (r *Relay) forward(conn *relayConnection) {
	var wg sync.WaitGroup
	wg.Go(func() {
		defer conn.close()
		r.forwardOneWay(conn, conn.sourceConn, conn.targetConn, func(rule RelayRule) RelayEffect { return rule.Toward })
	})
	wg.Go(func() {
		defer conn.close()
		r.forwardOneWay(conn, conn.targetConn, conn.sourceConn, func(rule RelayRule) RelayEffect { return rule.Back })
	})
	wg.Wait()
}

// forwardOneWay reads and writes in separate goroutines, so that a delay does not reduce the throughput.
func (r *Relay) forwardOneWay(conn *relayConnection, from, to net.Conn, effect func(RelayRule) RelayEffect) {
	chunks := make(chan relayChunk, relayQueueChunks)
	done := make(chan struct{})
	var writer sync.WaitGroup
	writer.Go(func() {
		defer close(done)
		defer conn.close()
		r.write(conn, to, chunks, effect)
	})
	r.read(conn, from, chunks, done, effect)
	close(chunks)
	writer.Wait()
}

func (r *Relay) read(conn *relayConnection, from net.Conn, chunks chan<- relayChunk, done <-chan struct{}, effect func(RelayRule) RelayEffect) {
	for {
		data := make([]byte, relayChunkBytes)
		n, err := from.Read(data)
		if n > 0 {
			delay := r.currentEffect(conn, effect).Delay
			select {
			case chunks <- relayChunk{data[:n], time.Now().Add(delay)}:
			case <-done:
				return
			}
		}
		if err != nil {
			return
		}
	}
}

func (r *Relay) currentEffect(conn *relayConnection, effect func(RelayRule) RelayEffect) RelayEffect {
	r.mu.Lock()
	defer r.mu.Unlock()
	return effect(r.ruleFor(conn.source))
}

func (r *Relay) write(conn *relayConnection, to net.Conn, chunks <-chan relayChunk, effect func(RelayRule) RelayEffect) {
	dropped := false
	for c := range chunks {
		time.Sleep(time.Until(c.due))
		current, open := r.waitUnblocked(conn, effect)
		if !open || dropped && !current.Drop {
			return
		}
		if current.Drop {
			dropped = true
			continue
		}
		if r.isSilent(conn) {
			continue
		}
		// Count before writing: a test that has received the bytes may read the count before this goroutine is scheduled again.
		r.addForwarded(len(c.data))
		if _, err := to.Write(c.data); err != nil {
			return
		}
	}
}

func (r *Relay) isSilent(conn *relayConnection) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return conn.silent
}

func (r *Relay) addForwarded(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.bytesForwarded += int64(n)
}

// waitUnblocked waits while the source's rule blocks this direction, then returns the effect in force; it reports false if the relay is
// closed or the source is cut off.
func (r *Relay) waitUnblocked(conn *relayConnection, effect func(RelayRule) RelayEffect) (RelayEffect, bool) {
	for {
		r.mu.Lock()
		current := effect(r.ruleFor(conn.source))
		cut := r.closed || r.ruleFor(conn.source).Cut
		changed := r.changed
		r.mu.Unlock()
		if cut {
			return current, false
		}
		if !current.Block {
			return current, true
		}
		<-changed
	}
}
