package pomeloconfig

import "net/netip"

// ListenSettings holds the router's listen addresses: IP number and port.
type ListenSettings struct {
	Caller   netip.AddrPort `yaml:"Caller"`
	Control  netip.AddrPort `yaml:"Control"`
	Operator netip.AddrPort `yaml:"Operator"`
}

func (l ListenSettings) check(c *checker) {
	c.address("Listen.Caller", l.Caller)
	c.address("Listen.Control", l.Control)
	c.address("Listen.Operator", l.Operator)
	same := l.Caller == l.Control || l.Caller == l.Operator || l.Control == l.Operator
	if same && l.Caller.IsValid() && l.Caller.Port() != 0 {
		c.add("Listen", "two of the three addresses are the same", "give each its own port")
	}
}
