package pomeloroute

import (
	"io"

	"github.com/go-faster/errors"
)

var errBodyMemoryFull = errors.New("request bodies in progress exceed the router's limit")

// countedBody counts the bytes read from a body towards the router's limit on the total size of all buffered bodies. Without that limit,
// many large bodies, each within the limit of a single body, would exhaust the memory of the process, and all its requests would be lost.
type countedBody struct {
	c *call
	r io.Reader
}

// Read reads from the body; it fails with errBodyMemoryFull once the limit on all bodies is exceeded.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.c.bufferedBytes += int64(n)
	if b.c.h.buffered.Add(int64(n)) > int64(b.c.h.cfg.Options.MaxBufferedBodies) {
		return n, errBodyMemoryFull
	}
	return n, err
}
