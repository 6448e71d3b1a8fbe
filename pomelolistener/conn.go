package pomelolistener

import (
	"errors"
	"net"
	"net/http"
	"os"
	"sync"
	"syscall"
	"time"

	"golang.org/x/sys/unix"
)

var (
	errRefused = errors.New("the request is refused before it has been read")
	errEnded   = errors.New("the connection has ended")
)

// Conn is a client's connection. Its HTTP server reports the states of the connection by Port.ConnState, and the handler the end of its work by Finish.
type Conn struct {
	*net.TCPConn
	port *Port

	// The fields below are protected by the pool's mu.
	phase      Phase
	writing    bool
	since      time.Time
	prev, next *Conn
	// progress is the number of bytes of a body since the connection entered its phase.
	progress int
	// held is the memory charged to the connection, bodyHeld the part for a large body; requestHeld is released with the request.
	held, bodyHeld, requestHeld int64
	// unsent bounds the bytes that the kernel holds for the client, unsentHeld is what is charged for them.
	unsent, unsentHeld int64
	// sentAhead is set while the kernel may hold bytes that follow the request.
	sentAhead bool
	removed   bool
	// readEnded and ended make further reads, or reads and writes, fail. lingers is set if the client may be sending when the connection closes, and unread
	// if it did not read an answer in time.
	readEnded, ended, lingers, unread bool

	// head is used by the goroutine that reads the head.
	head headScanner
}

// Of returns the Conn that c is or embeds; nil if it does not.
func Of(c net.Conn) *Conn {
	if t, ok := c.(interface{ tracked() *Conn }); ok {
		return t.tracked()
	}
	return nil
}

func (c *Conn) tracked() *Conn { return c }

// ConnState follows the state of a connection; it is meant for http.Server.ConnState.
func (p *Port) ConnState(conn net.Conn, state http.ConnState) {
	c := Of(conn)
	if c == nil {
		return
	}
	switch state {
	case http.StateActive:
		// The handler replaces the deadline by that of its request.
		_ = c.TCPConn.SetWriteDeadline(time.Now().Add(answerTimeout))
		p.pool.mu.Lock()
		c.enter(PhaseServing, false)
		p.pool.mu.Unlock()
	case http.StateIdle:
		c.becomeIdle()
	}
}

// becomeIdle releases what the last request held.
func (c *Conn) becomeIdle() {
	var evicted []*Conn
	defer func() { closeEvicted(evicted) }()
	p := c.port.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.enter(PhaseIdle, false)
	c.head = headScanner{}
	c.sentAhead = false
	p.charge(c, -c.requestHeld, &evicted)
	c.requestHeld = 0
	c.chargeUnsent(0, &evicted)
}

// chargeRequest charges memory until the request ends; the caller holds the pool's mu.
func (c *Conn) chargeRequest(bytes int64, evicted *[]*Conn) bool {
	if !c.port.pool.charge(c, bytes, evicted) {
		return false
	}
	if !c.removed {
		c.requestHeld += bytes
	}
	return true
}

// Begin charges the memory of a running request and reports whether there is enough. It is released when the connection becomes idle or closes.
func (c *Conn) Begin() bool {
	var evicted []*Conn
	defer func() { closeEvicted(evicted) }()
	p := c.port.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	return c.chargeRequest(RequestMemory, &evicted)
}

// ChargeBody charges a large body, or releases it if bytes is negative, and reports whether there is enough memory.
func (c *Conn) ChargeBody(bytes int64) bool {
	var evicted []*Conn
	defer func() { closeEvicted(evicted) }()
	p := c.port.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	for limit := int64(p.cfg.BodyMemory); bytes > 0 && limit > 0 && p.bodies+bytes > limit; {
		victim := c.port.stalledBody()
		if victim == nil || victim == c || bytes > limit {
			return false
		}
		p.evict(victim, &evicted)
	}
	if !p.charge(c, bytes, &evicted) {
		return false
	}
	if !c.removed {
		c.bodyHeld += bytes
		p.bodies += bytes
	}
	return true
}

// Finish marks the end of the handling of a request: what the client has not sent of it is no longer waited for.
func (c *Conn) Finish() {
	p := c.port.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.enter(PhaseFinishing, false)
}

// Refuse writes a complete response to a request and ends the connection; unread tells that a part of the request may not have been read.
func (c *Conn) Refuse(response []byte, unread bool) {
	_ = c.TCPConn.SetWriteDeadline(time.Now().Add(answerTimeout))
	// The error of a connection that the client has closed is ignored.
	_, _ = c.Write(response)
	c.end(unread)
}

// end makes further reads and writes fail.
func (c *Conn) end(lingers bool) {
	p := c.port.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.ended, c.lingers = true, c.lingers || lingers
	c.enter(PhaseFinishing, false)
}

// refusedRead returns the error for reads of a connection that ends. net/http answers none of the kind.
func refusedRead(cause error) error { return &net.OpError{Op: "read", Net: "tcp", Err: cause} }

// Read reads from the connection.
func (c *Conn) Read(p []byte) (int, error) {
	if err := c.beforeRead(len(p)); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Read(p)
	if n > 0 {
		if err := c.afterRead(p[:n]); err != nil {
			return 0, err
		}
	}
	return n, err
}

// beforeRead follows the phase of the request. While a request is handled, net/http reads a single byte to detect the end of the connection; other reads
// are for the body.
func (c *Conn) beforeRead(size int) error {
	p := c.port.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	switch {
	case c.ended || c.readEnded:
		return refusedRead(errEnded)
	case size > 1 && (c.phase == PhaseFinishing || (c.phase == PhaseServing && c.port.cfg.RefusesBodies)):
		// net/http would wait for the rest of the body, without an end.
		c.readEnded, c.lingers = true, true
		p.stats.BodiesUnread++
		return refusedRead(errRefused)
	case size > 1 && c.phase == PhaseServing:
		c.enter(PhaseBody, c.writing)
	}
	return nil
}

// bodyRead ends the reading of a body.
func (c *Conn) bodyRead() {
	p := c.port.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.phase == PhaseBody {
		c.enter(PhaseServing, c.writing)
	}
}

// afterRead charges what was read, or what it shows to be unread.
func (c *Conn) afterRead(data []byte) error {
	var evicted []*Conn
	defer func() { closeEvicted(evicted) }()
	p := c.port.pool
	p.mu.Lock()
	phase := c.phase
	if phase == PhaseIdle {
		phase = PhaseHead
		c.enter(phase, c.writing)
	}
	enough := true
	switch {
	case phase == PhaseHead:
		enough = c.chargeRequest(c.head.scan(data), &evicted)
	case phase == PhaseBody:
		c.recordProgress(len(data))
	case !c.sentAhead:
		c.sentAhead = true
		enough = c.chargeRequest(kernelFactor*receiveBuffer, &evicted)
	}
	tooLarge := phase == PhaseHead && c.port.cfg.HeaderBytes != nil && c.head.bytes > int64(c.port.cfg.HeaderBytes())+headSlack
	switch {
	case tooLarge:
		p.stats.HeadsTooLarge++
	case !enough:
		p.stats.HeadsWithoutMemory++
	}
	p.mu.Unlock()
	switch {
	case tooLarge:
		c.Refuse(c.port.cfg.HeadTooLarge, true)
	case !enough && phase == PhaseHead:
		c.Refuse(c.port.cfg.NoMemory, true)
	case !enough:
		c.end(false)
	default:
		return nil
	}
	return refusedRead(errRefused)
}

// Write writes to the connection.
func (c *Conn) Write(data []byte) (int, error) {
	if err := c.beforeWrite(len(data)); err != nil {
		return 0, err
	}
	n, err := c.TCPConn.Write(data)
	p := c.port.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	c.enter(c.phase, false)
	c.unsent += int64(n)
	if errors.Is(err, os.ErrDeadlineExceeded) && !c.unread {
		c.unread = true
		p.stats.UnreadAnswers++
	}
	return n, err
}

func (c *Conn) beforeWrite(size int) error {
	var evicted []*Conn
	defer func() { closeEvicted(evicted) }()
	p := c.port.pool
	p.mu.Lock()
	defer p.mu.Unlock()
	if c.ended {
		return &net.OpError{Op: "write", Net: "tcp", Err: errEnded}
	}
	if !c.chargeUnsent(int64(size), &evicted) {
		c.ended = true
		return &net.OpError{Op: "write", Net: "tcp", Err: errEnded}
	}
	c.enter(c.phase, true)
	return nil
}

// chargeUnsent charges the bytes that the kernel holds for the client once more are written, beyond unsentAllowance, and reports whether there is memory.
// It asks the kernel only when they may exceed the allowance. The caller holds the pool's mu.
func (c *Conn) chargeUnsent(more int64, evicted *[]*Conn) bool {
	if c.unsent+more > unsentAllowance {
		c.unsent = min(c.unsent, kernelFactor*sendBuffer)
		if n, ok := c.queued(unix.SIOCOUTQ); ok {
			c.unsent = n
		}
	}
	held := max(0, min(c.unsent+more, kernelFactor*sendBuffer)-unsentAllowance)
	if more > 0 && c.unsent > unsentAllowance {
		held += int64(c.port.cfg.LagMemory)
	}
	if !c.port.pool.charge(c, held-c.unsentHeld, evicted) {
		return false
	}
	c.unsentHeld = held
	return true
}

// queued returns the number of bytes in a queue of the socket.
func (c *Conn) queued(request uint) (int64, bool) {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return 0, false
	}
	n := 0
	var failed error
	err = raw.Control(func(fd uintptr) { n, failed = unix.IoctlGetInt(int(fd), request) })
	return int64(n), err == nil && failed == nil
}

// hasUnread reports whether the process has yet to read bytes, or the end, of the connection.
func (c *Conn) hasUnread() bool {
	raw, err := c.TCPConn.SyscallConn()
	if err != nil {
		return false
	}
	unread := false
	err = raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, failed := syscall.Recvfrom(int(fd), one[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		unread = failed == nil
	})
	return err == nil && unread
}

// SetReadDeadline sets the deadline of reads; net/http's timeouts for idle connections and for heads are replaced by those of the port. net/http removes
// the deadline once it has read a body to its end.
func (c *Conn) SetReadDeadline(t time.Time) error {
	if t.IsZero() {
		c.bodyRead()
		return c.TCPConn.SetReadDeadline(t)
	}
	if left := time.Until(t); left > (IdleMark+HeaderMark)/2 {
		t = time.Now().Add(c.port.cfg.HeaderTimeout())
	} else if left > IdleMark/2 {
		t = time.Now().Add(c.port.cfg.IdleTimeout())
	}
	return c.TCPConn.SetReadDeadline(t)
}

var lingerBuffers = sync.Pool{New: func() any { return new([lingerBuffer]byte) }}

// Close closes the connection. If its client may still be sending, it first reads on until the client closes it: closing a socket with unread bytes resets
// the connection, which may destroy the answer before the client reads it.
func (c *Conn) Close() error {
	p := c.port.pool
	p.mu.Lock()
	lingers := c.lingers && !c.unread && !c.removed
	resets := c.unread || (c.phase == PhaseIdle && c.unsent > unsentAllowance)
	c.ended = true
	c.enter(PhaseFinishing, false)
	p.mu.Unlock()
	if lingers && !p.closing.Load() {
		c.linger()
	}
	p.mu.Lock()
	p.remove(c)
	p.mu.Unlock()
	if resets {
		_ = c.TCPConn.SetLinger(0)
	}
	return c.TCPConn.Close()
}

// linger lets the client receive the answer until it closes the connection. Of a client that sends on, it reads a part only; the client finds the answer
// once it cannot send any more.
func (c *Conn) linger() {
	until := time.Now().Add(lingerTimeout)
	_ = c.TCPConn.CloseWrite()
	_ = c.TCPConn.SetReadDeadline(until)
	if c.drain() {
		time.Sleep(time.Until(until))
	}
}

// drain reads up to lingerBytes and reports whether the client may still be sending.
func (c *Conn) drain() bool {
	lingering := &c.port.pool.lingering
	defer lingering.Add(-1)
	if lingering.Add(1) > maxLingering {
		return true
	}
	buffer := lingerBuffers.Get().(*[lingerBuffer]byte)
	defer lingerBuffers.Put(buffer)
	for total := 0; total < lingerBytes; {
		n, err := c.TCPConn.Read(buffer[:])
		if err != nil {
			return false
		}
		total += n
	}
	return true
}
