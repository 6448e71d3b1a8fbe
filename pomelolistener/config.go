package pomelolistener

import (
	"net"
	"syscall"
	"time"

	"github.com/pomelorelay/pomelorelay"
)

// Config configures a Pool.
type Config struct {
	// Memory limits what all connections hold together, and BodyMemory the part of it that large request bodies hold; zero means no limit.
	Memory, BodyMemory pomelorelay.Bytes
}

// PortConfig configures a Port.
type PortConfig struct {
	// MaxConns limits the number of open connections.
	MaxConns int64
	// Backlog limits the number of connections that wait for their acceptance.
	Backlog int
	// HeaderBytes returns the limit on a request's head; nil leaves it to the HTTP server.
	HeaderBytes func() pomelorelay.Bytes
	// HeaderTimeout returns the time within which a head must be complete, IdleTimeout how long a connection may stay idle after an answer.
	HeaderTimeout, IdleTimeout func() time.Duration
	// Reserved exempts the port from the limit on memory, so that others cannot take what it needs; MaxConns and HeaderBytes bound it.
	Reserved bool
	// LagMemory is what a request holds besides while its client does not read as fast as the answer is written: bytes of the answer that the process has
	// not read.
	LagMemory pomelorelay.Bytes
	// RefusesBodies makes the port close connections whose requests have bodies that did not come with the head.
	RefusesBodies bool
	// HeadTooLarge and NoMemory are the complete responses to a head over the limit, and to one for which there is no memory.
	HeadTooLarge, NoMemory []byte
}

const (
	// ConnMemory is the memory of an idle connection: a stack, two 4 KiB buffers, the state of net/http and unsentAllowance.
	ConnMemory = 20<<10 + unsentAllowance
	// RequestMemory is the memory of a running request: the buffers of its two connections, stacks and a body of up to 64 KiB.
	RequestMemory = 64 << 10

	// receiveBuffer and sendBuffer are the sizes that the sockets' buffers are set to; the kernel doubles them for its own overhead.
	receiveBuffer = 32 << 10
	sendBuffer    = 16 << 10
	kernelFactor  = 2
	// unsentAllowance is how many unsent bytes count as part of ConnMemory.
	unsentAllowance = 8 << 10
	// lineMemory is the memory of a parsed header field besides its bytes, byteMemory that of each byte: the field is parsed, and copied for the upstream.
	lineMemory = 160
	byteMemory = 2

	// answerTimeout bounds the writing of an answer for which the handler sets no deadline.
	answerTimeout = 5 * time.Second
	// stallTimeout is how long a write must have been blocked, or a body without progressBytes, until its connection gives way to others. Bodies that give
	// way while they come would leave none that comes to its end.
	stallTimeout  = 500 * time.Millisecond
	progressBytes = 4 << 10
	// finishTimeout is how long after its handling an answer must have waited until its connection gives way to others.
	finishTimeout = 100 * time.Millisecond
	// lingerTimeout bounds the time for which a refused connection stays open until its client closes it. Meanwhile lingerBytes are read, of maxLingering
	// connections of a pool at once.
	lingerTimeout = 500 * time.Millisecond
	lingerBytes   = 1 << 20
	lingerBuffer  = 32 << 10
	maxLingering  = 128
	// headSlack is how far a head may exceed the limit until it is refused, since clients may count without the request line.
	headSlack = 4 << 10
	// maxVictimChecks bounds the connections of a phase that are checked for unread bytes when one has to give way.
	maxVictimChecks = 4
)

// IdleMark and HeaderMark are the timeouts that net/http is given. It reads them once, at the start, so Conn replaces the deadlines that follow from them
// by those of the port's configuration.
const (
	IdleMark   = 1000 * time.Hour
	HeaderMark = 2000 * time.Hour
)

// PendingMemory is what the kernel may hold of a connection that has not been accepted.
const PendingMemory = kernelFactor * receiveBuffer

// SetBacklog bounds the connections that wait for their acceptance. The kernel receives for them meanwhile, and no account knows of that. By default, a
// system lets thousands wait.
func SetBacklog(l net.Listener, conns int) error {
	listener, ok := l.(syscall.Conn)
	if !ok {
		return nil
	}
	raw, err := listener.SyscallConn()
	if err != nil {
		return err
	}
	var failed error
	// Listening once more on the same socket only changes its backlog.
	if err := raw.Control(func(fd uintptr) { failed = syscall.Listen(int(fd), conns) }); err != nil {
		return err
	}
	return failed
}

// SetBuffers bounds the kernel's buffers of the connections that a listening socket accepts; it is meant for net.ListenConfig.Control. The kernel would
// otherwise keep megabytes for each connection that the process does not read, or whose client does not.
func SetBuffers(_, _ string, raw syscall.RawConn) error {
	return raw.Control(func(fd uintptr) {
		// Without these sizes the account counts too little, which is no reason not to serve.
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, receiveBuffer)
		_ = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_SNDBUF, sendBuffer)
	})
}
