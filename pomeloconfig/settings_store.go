package pomeloconfig

import (
	"net/netip"
	"time"
)

// Defaults of the Store and HostList sections.
const (
	DefaultStoreTimeout        = 2 * time.Second
	DefaultStoreCallsPerSecond = 50
	DefaultHostListInterval    = time.Second
)

// StoreSettings configures access to the platform's store.
type StoreSettings struct {
	Addresses []netip.AddrPort `yaml:"Addresses"`
	Timeout   time.Duration    `yaml:"Timeout"`
	// CallsPerSecond is the maximum rate of this router's calls to the store.
	CallsPerSecond float64 `yaml:"CallsPerSecond"`
}

// HostListSettings configures access to the platform's host list.
type HostListSettings struct {
	// Addresses defaults to the store's addresses.
	Addresses []netip.AddrPort `yaml:"Addresses"`
	Timeout   time.Duration    `yaml:"Timeout"`
	// Interval is the shortest interval between reads of the list; a router of a large fleet reads it less often.
	Interval time.Duration `yaml:"Interval"`
}

func (s *StoreSettings) fillDefaults() {
	setDuration(&s.Timeout, DefaultStoreTimeout)
	if s.CallsPerSecond == 0 {
		s.CallsPerSecond = DefaultStoreCallsPerSecond
	}
}

func (h *HostListSettings) fillDefaults(store StoreSettings) {
	if len(h.Addresses) == 0 {
		h.Addresses = store.Addresses
	}
	setDuration(&h.Timeout, store.Timeout)
	setDuration(&h.Interval, DefaultHostListInterval)
}

func (s StoreSettings) check(c *checker) {
	checkAddresses(c, "Store.Addresses", s.Addresses)
	c.duration("Store.Timeout", s.Timeout, time.Millisecond, time.Minute)
	c.number("Store.CallsPerSecond", s.CallsPerSecond, 0.1, 10_000)
}

func (h HostListSettings) check(c *checker) {
	checkAddresses(c, "HostList.Addresses", h.Addresses)
	c.duration("HostList.Timeout", h.Timeout, time.Millisecond, time.Minute)
	c.duration("HostList.Interval", h.Interval, 10*time.Millisecond, time.Minute)
}

func checkAddresses(c *checker, path string, addresses []netip.AddrPort) {
	if len(addresses) == 0 {
		c.add(path, "no address is given", "list at least one IP:port")
	}
	for i, address := range addresses {
		c.address(indexedPath(path, i), address)
	}
}

func setDuration(d *time.Duration, value time.Duration) {
	if *d == 0 {
		*d = value
	}
}
