package pomelolink

import (
	"bufio"
	"bytes"
	"io"
	"sync"
	"sync/atomic"

	"github.com/pomelorelay/pomelorelay"
)

const (
	connBufferBytes = 4 << 10
	// receiveBuffer is the size in bytes that the receive buffers of sockets are set to. It fills when a caller does not read its answer.
	receiveBuffer = 64 << 10
	// ReceiveMemory is the memory of a full receive buffer in bytes: the kernel doubles the size.
	ReceiveMemory = 2 * receiveBuffer
	// maxPooledBuffer is the capacity in bytes of the largest body buffer that is returned to the pool.
	maxPooledBuffer = 256 << 10
)

// Buffers pools the buffers of exchanges, so that an idle stream holds little memory. It limits the total size of buffered answers: each may be
// within its own limit, and all of them together exceed the memory of the process.
type Buffers struct {
	bodies  sync.Pool
	writers sync.Pool
	chunks  sync.Pool
	// answerLimit is the limit on answerBytes, the reserved bytes; zero for no limit.
	answerLimit int64
	answerBytes atomic.Int64
}

// NewBuffers returns a Buffers with empty pools; answerLimit limits the bytes reserved for answers, zero means no limit.
func NewBuffers(answerLimit pomelorelay.Bytes) *Buffers {
	return &Buffers{
		answerLimit: int64(answerLimit),
		bodies:      sync.Pool{New: func() any { return new(bytes.Buffer) }},
		writers:     sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, connBufferBytes) }},
		chunks:      sync.Pool{New: func() any { return new([connBufferBytes]byte) }},
	}
}

// Body returns an empty buffer for a message body; PutBody returns it to the pool.
func (p *Buffers) Body() *bytes.Buffer { return p.bodies.Get().(*bytes.Buffer) }

// PutBody returns a body buffer to the pool; one with a capacity over 256 KiB is dropped.
func (p *Buffers) PutBody(b *bytes.Buffer) {
	if b.Cap() > maxPooledBuffer {
		return
	}
	b.Reset()
	p.bodies.Put(b)
}

func (p *Buffers) writer(w io.Writer) *bufio.Writer {
	b := p.writers.Get().(*bufio.Writer)
	b.Reset(w)
	return b
}

func (p *Buffers) putWriter(b *bufio.Writer) {
	b.Reset(io.Discard)
	p.writers.Put(b)
}

// Chunk returns a byte slice of the size of a connection's read buffer, 4 KiB; PutChunk returns it to the pool.
func (p *Buffers) Chunk() []byte { return p.chunks.Get().(*[connBufferBytes]byte)[:] }

// PutChunk returns a chunk to the pool; a slice of another capacity is dropped.
func (p *Buffers) PutChunk(b []byte) {
	if cap(b) == connBufferBytes {
		p.chunks.Put((*[connBufferBytes]byte)(b[:connBufferBytes]))
	}
}

// ReserveAnswer reserves bytes for the answer of an exchange and reports whether they are within the limit; ReleaseAnswer releases them.
func (p *Buffers) ReserveAnswer(n int) bool {
	if p.answerBytes.Add(int64(n)) <= p.answerLimit || p.answerLimit == 0 {
		return true
	}
	p.answerBytes.Add(-int64(n))
	return false
}

// ReleaseAnswer releases reserved bytes.
func (p *Buffers) ReleaseAnswer(n int) { p.answerBytes.Add(-int64(n)) }
