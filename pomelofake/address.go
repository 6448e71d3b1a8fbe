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

// FreeAddr returns an unused loopback address. The IP address is derived from the process ID and the port is not ephemeral, since a
// port that is merely free when looked up can be taken by another process's test before it is listened on.
func FreeAddr() netip.AddrPort {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(ip, uint16(minPort+addressCount.Add(1)))
}
