package pomelolink

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

const (
	connBufferBytes = 4 << 10
	// maxPooledBuffer is the largest body buffer that goes back to the pool.
	maxPooledBuffer = 256 << 10
)

// Buffers lends the buffers of exchanges, so that an idle stream holds little memory.
type Buffers struct {
	bodies  sync.Pool
	writers sync.Pool
	chunks  sync.Pool
}

// NewBuffers returns empty pools.
func NewBuffers() *Buffers {
	return &Buffers{
		bodies:  sync.Pool{New: func() any { return new(bytes.Buffer) }},
		writers: sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, connBufferBytes) }},
		chunks:  sync.Pool{New: func() any { return new([connBufferBytes]byte) }},
	}
}

// Body lends an empty buffer.
func (p *Buffers) Body() *bytes.Buffer { return p.bodies.Get().(*bytes.Buffer) }

// PutBody takes a buffer back.
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

// Chunk lends a chunk of the size of a connection's buffer.
func (p *Buffers) Chunk() []byte { return p.chunks.Get().(*[connBufferBytes]byte)[:] }

// PutChunk takes a chunk back.
func (p *Buffers) PutChunk(b []byte) {
	if cap(b) == connBufferBytes {
		p.chunks.Put((*[connBufferBytes]byte)(b[:connBufferBytes]))
	}
}
