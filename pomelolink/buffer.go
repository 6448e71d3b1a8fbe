package pomelolink

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

const (
	connBufferBytes = 4 << 10
	// maxPooledBuffer is the capacity in bytes of the largest body buffer that is returned to the pool.
	maxPooledBuffer = 256 << 10
)

// Buffers pools the buffers of exchanges, so that an idle stream holds little memory.
type Buffers struct {
	bodies  sync.Pool
	writers sync.Pool
	chunks  sync.Pool
}

// NewBuffers returns a Buffers with empty pools.
func NewBuffers() *Buffers {
	return &Buffers{
		bodies:  sync.Pool{New: func() any { return new(bytes.Buffer) }},
		writers: sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, connBufferBytes) }},
		chunks:  sync.Pool{New: func() any { return new([connBufferBytes]byte) }},
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
