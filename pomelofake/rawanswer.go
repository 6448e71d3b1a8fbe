package pomelofake

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"time"
)

// swapTimeout is how long an answer is delayed until another request's answer is available to be swapped with it.
const swapTimeout = 200 * time.Millisecond

// pendingSwap is an answer to be swapped with that of the next request.
type pendingSwap struct {
	own     PlainAnswer
	partner chan PlainAnswer
}

// swapAnswer exchanges the answer with that of a concurrent request, or returns it unchanged if there is none within swapTimeout.
func (p *PlainService) swapAnswer(answer PlainAnswer) PlainAnswer {
	p.mu.Lock()
	if other := p.swap; other != nil {
		p.swap = nil
		p.mu.Unlock()
		other.partner <- answer
		return other.own
	}
	s := &pendingSwap{own: answer, partner: make(chan PlainAnswer, 1)}
	p.swap = s
	p.mu.Unlock()
	timer := time.NewTimer(swapTimeout)
	defer timer.Stop()
	select {
	case partner := <-s.partner:
		return partner
	case <-timer.C:
		return p.withdrawSwap(s)
	}
}

func (p *PlainService) withdrawSwap(s *pendingSwap) PlainAnswer {
	p.mu.Lock()
	pending := p.swap == s
	if pending {
		p.swap = nil
	}
	p.mu.Unlock()
	if pending {
		return s.own
	}
	return <-s.partner
}

func (p *PlainService) writeAnswer(w http.ResponseWriter, answer PlainAnswer, faults PlainFaults) {
	if faults.needsHijack() {
		p.writeRawAnswer(w, answer, faults)
		return
	}
	if answer.RequestID != "" && !p.cfg.OmitRequestID {
		w.Header().Set(headerRequestID, answer.RequestID)
	}
	writeJSON(w, http.StatusOK, answer)
}

func (f PlainFaults) needsHijack() bool {
	return f.Short > 0 || f.Repeat || f.Cut || f.IdleClose > 0
}

// writeRawAnswer writes the answer directly to the hijacked connection, since net/http would not let a handler inject the faults
// that violate HTTP.
func (p *PlainService) writeRawAnswer(w http.ResponseWriter, answer PlainAnswer, faults PlainFaults) {
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	defer func() { _ = conn.Close() }()
	raw := p.encodeRawAnswer(answer)
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
		time.Sleep(max(faults.IdleClose, repeatedAnswerLinger))
	}
}

// repeatedAnswerLinger is how long a connection stays open after a repeated answer, so that the client can send another request on
// the connection and take the second copy for the answer to that request.
const repeatedAnswerLinger = 20 * time.Millisecond

func (p *PlainService) encodeRawAnswer(answer PlainAnswer) []byte {
	body, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	var raw bytes.Buffer
	fmt.Fprintf(&raw, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n")
	if answer.RequestID != "" && !p.cfg.OmitRequestID {
		fmt.Fprintf(&raw, "%s: %s\r\n", headerRequestID, answer.RequestID)
	}
	fmt.Fprintf(&raw, "Content-Length: %d\r\n\r\n", len(body))
	raw.Write(body)
	return raw.Bytes()
}
