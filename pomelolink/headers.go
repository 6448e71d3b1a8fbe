package pomelolink

import (
	"net/http"
	"strings"
)

// hopHeaders belong to one connection and are never passed on.
var hopHeaders = []string{
	"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection",
	"Te", "Trailer", "Transfer-Encoding", "Upgrade",
}

// RemoveHopHeaders drops the fields of one connection, those that Connection names included.
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

// IsEventStream reports whether an answer is a stream of server-sent events.
func IsEventStream(resp *http.Response) bool {
	return strings.HasPrefix(resp.Header.Get("Content-Type"), "text/event-stream")
}
