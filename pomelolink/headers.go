package pomelolink

import (
	"net/http"
	"strings"
)

// hopHeaders are the hop-by-hop header fields, which are not forwarded.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders removes the hop-by-hop fields, including those listed in Connection.
func RemoveHopHeaders(head http.Header) {
	for _, line := range head["Connection"] {
		for _, name := range strings.Split(line, ",") {
			head.Del(strings.TrimSpace(name))
		}
	}
	for _, name := range hopHeaders {
		delete(head, name)
	}
}

// EndsWithConnection reports whether only the end of the connection shows that the answer is complete. The connection may also have ended because it
// failed, see Exchange.ClosedInOrder, or because the upstream's process did, see Exchange.UpstreamLives. resp.Request must be set.
func EndsWithConnection(resp *http.Response) bool {
	return resp.ContentLength < 0 && len(resp.TransferEncoding) == 0 && resp.Request.Method != http.MethodHead
}

// IsEventStream reports whether an answer has the media type text/event-stream.
func IsEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}
