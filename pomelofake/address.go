package pomelofake

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// minPort is the lower bound of the ports of FreeAddr, below the ephemeral ports of outgoing connections.
const minPort = 20000

// addressCount is the number of addresses that FreeAddr has returned.
var addressCount atomic.Uint32

// FreeAddr returns an unused loopback address. The IP address is derived from the process ID and the port is not ephemeral, since
// otherwise another process's test could take the port between this call and the moment when the caller listens on it.
func FreeAddr() netip.AddrPort {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(ip, uint16(minPort+addressCount.Add(1)))
}
