package pomeloroute

import (
	"net/http"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelolink"
)

// upstreamHeader returns the header of a request to an upstream: the caller's header without the hop-by-hop fields, the caller's token and
// the fields that the router interprets itself.
func upstreamHeader(from http.Header) http.Header {
	head := from.Clone()
	pomelolink.RemoveHopHeaders(head)
	for _, name := range []string{"Authorization", "Expect", "Content-Length", headerTimeout, headerCostHint, headerRan} {
		head.Del(name)
	}
	if _, ok := head["User-Agent"]; !ok {
		// An empty entry prevents net/http from adding its default User-Agent.
		head["User-Agent"] = []string{""}
	}
	return head
}

// copyResponseHeader copies an answer's header without hop-by-hop fields and without Ran, which only the router may set.
func copyResponseHeader(to, from http.Header) {
	pomelolink.RemoveHopHeaders(from)
	for name, values := range from {
		if name == headerRan {
			continue
		}
		to[name] = append(to[name][:0:0], values...)
	}
}

// checkHeaderLimits limits the number and total size of a request's header fields.
func checkHeaderLimits(head http.Header, o Options) error {
	count := 0
	var size pomelorelay.Bytes
	for name, values := range head {
		count += len(values)
		for _, v := range values {
			size += pomelorelay.Bytes(len(name) + len(v))
		}
	}
	if count > o.MaxHeaders || size > o.MaxHeaderBytes {
		return pomelorelay.NewError(pomelorelay.CodeHeaderBounds, "", nil)
	}
	return nil
}
