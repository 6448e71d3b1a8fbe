package pomelofake

import (
	"net/netip"
	"os"
	"sync/atomic"
)

// minPort is the first port that FreeAddr gives out, below those that the system gives to outgoing connections.
const minPort = 20000

// addressCount counts the addresses that this process has given out.
var addressCount atomic.Uint32

// FreeAddr returns a loopback address that nothing listens on. Its IP number is this process's own and its port one that no outgoing
// connection gets: an address that was merely free when it was looked for may be taken by another process's test before it is listened on.
func FreeAddr() netip.AddrPort {
	pid := os.Getpid()
	ip := netip.AddrFrom4([4]byte{127, byte(64 + pid>>16&63), byte(pid >> 8), byte(pid)})
	return netip.AddrPortFrom(ip, uint16(minPort+addressCount.Add(1)))
}
