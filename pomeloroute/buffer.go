package pomeloroute

import (
	"bufio"
	"bytes"
	"io"
	"sync"
)

const (
	wireBuffer = 4 << 10
	// keepBuffer is the largest body buffer that goes back to the pool.
	keepBuffer = 256 << 10
)

// bufferPool lends the buffers of exchanges, so that an idle stream holds little memory.
type bufferPool struct {
	bodies  sync.Pool
	writers sync.Pool
	chunks  sync.Pool
}

func newBufferPool() *bufferPool {
	return &bufferPool{
		bodies:  sync.Pool{New: func() any { return new(bytes.Buffer) }},
		writers: sync.Pool{New: func() any { return bufio.NewWriterSize(io.Discard, wireBuffer) }},
		chunks:  sync.Pool{New: func() any { return new([wireBuffer]byte) }},
	}
}

func (p *bufferPool) body() *bytes.Buffer { return p.bodies.Get().(*bytes.Buffer) }

func (p *bufferPool) putBody(b *bytes.Buffer) {
	if b.Cap() > keepBuffer {
		return
	}
	b.Reset()
	p.bodies.Put(b)
}

func (p *bufferPool) writer(w io.Writer) *bufio.Writer {
	b := p.writers.Get().(*bufio.Writer)
	b.Reset(w)
	return b
}

func (p *bufferPool) putWriter(b *bufio.Writer) {
	b.Reset(io.Discard)
	p.writers.Put(b)
}

func (p *bufferPool) chunk() []byte { return p.chunks.Get().(*[wireBuffer]byte)[:] }

func (p *bufferPool) putChunk(b []byte) {
	if cap(b) == wireBuffer {
		p.chunks.Put((*[wireBuffer]byte)(b[:wireBuffer]))
	}
}
