package pomelofake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// crossWait is how long an answer waits for another to be swapped with.
const crossWait = 200 * time.Millisecond

// crossing is an answer that waits for a partner.
type crossing struct {
	mine   PlainAnswer
	theirs chan PlainAnswer
}

// cross returns the answer of another request that is crossed too, or the own one when none comes.
func (p *PlainService) cross(answer PlainAnswer) PlainAnswer {
	p.mu.Lock()
	if other := p.partner; other != nil {
		p.partner = nil
		p.mu.Unlock()
		other.theirs <- answer
		return other.mine
	}
	c := &crossing{mine: answer, theirs: make(chan PlainAnswer, 1)}
	p.partner = c
	p.mu.Unlock()
	timer := time.NewTimer(crossWait)
	defer timer.Stop()
	select {
	case theirs := <-c.theirs:
		return theirs
	case <-timer.C:
		return p.leave(c)
	}
}

func (p *PlainService) leave(c *crossing) PlainAnswer {
	p.mu.Lock()
	waits := p.partner == c
	if waits {
		p.partner = nil
	}
	p.mu.Unlock()
	if waits {
		return c.mine
	}
	return <-c.theirs
}

func (p *PlainService) send(w http.ResponseWriter, answer PlainAnswer, faults PlainFaults) {
	if faults.needsConnection() {
		p.sendRaw(w, answer, faults)
		return
	}
	if answer.RequestID != "" && !p.cfg.NoEcho {
		w.Header().Set(headerRequestID, answer.RequestID)
	}
	writeJSON(w, http.StatusOK, answer)
}

func (f PlainFaults) needsConnection() bool {
	return f.Short > 0 || f.Repeat || f.Cut || f.IdleClose > 0
}

// sendRaw writes the answer's bytes to the connection itself, since net/http would not let a server break the protocol.
func (p *PlainService) sendRaw(w http.ResponseWriter, answer PlainAnswer, faults PlainFaults) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	raw := p.rawAnswer(answer)
	if faults.Cut {
		raw = raw[:min(faults.CutAt, len(raw))]
	}
	if faults.Short > 0 {
		raw = raw[:max(0, len(raw)-faults.Short)]
	}
	if faults.Repeat {
		raw = append(raw, raw...)
	}
	_, _ = conn.Write(raw)
	if faults.IdleClose > 0 || faults.Repeat {
		time.Sleep(max(faults.IdleClose, repeatLinger))
	}
}

// repeatLinger keeps a connection with a repeated answer open, so that its caller may reuse it.
const repeatLinger = 20 * time.Millisecond

func (p *PlainService) rawAnswer(answer PlainAnswer) []byte {
	body, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	if answer.RequestID != "" && !p.cfg.NoEcho {
		fmt.Fprintf(&raw, "%s: %s\r\n", headerRequestID, answer.RequestID)
	}
	fmt.Fprintf(&raw, "Content-Length: %d\r\n\r\n", len(body))
	raw.Write(body)
	return raw.Bytes()
}
