package pomeloroute

import (
	"io"

	"github.com/go-faster/errors"
)

var errBodyMemoryFull = errors.New("the bodies in progress fill the router's bound")

// countedBody counts a body against the bound on all bodies in progress as it is read. Without the bound many callers with large
// bodies, each within its own bound, make the process run out of memory, and every request on the router is lost with it.
type countedBody struct {
	c *call
	r io.Reader
}

// Read reads on while there is room.
func (b *countedBody) Read(p []byte) (int, error) {
	n, err := b.r.Read(p)
	b.c.bufferedBytes += int64(n)
	if b.c.h.buffered.Add(int64(n)) > int64(b.c.h.cfg.Options.MaxBufferedBodies) {
		return n, errBodyMemoryFull
	}
	return n, err
}
