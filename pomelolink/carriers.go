package pomelolink

import "slices"

// Carriers is the set of connections that have carried one request's id; the zero value is empty. An upstream may send an answer again at any
// later time. The id then shows to which request the copy belongs, but not to which of its attempts, so each attempt needs a connection of its own.
type Carriers struct{ numbers []uint64 }

func (s *Carriers) contains(c *upstreamConn) bool {
	return s != nil && slices.Contains(s.numbers, c.use.Number)
}

func (s *Carriers) add(c *upstreamConn) {
	if s != nil {
		s.numbers = append(s.numbers, c.use.Number)
	}
}
