package pomelohead

import (
	"net/http"

	"golang.org/x/net/http/httpguts"
)

const (
	minFinalStatus = 200
	maxStatus      = 599
)

// CheckParsed checks the head of a final answer that a client of net/http has read; folded fields are no longer visible there.
func CheckParsed(resp *http.Response) error {
	if resp.StatusCode < minFinalStatus || resp.StatusCode > maxStatus {
		return ErrStatus
	}
	for name := range resp.Header {
		if !httpguts.ValidHeaderFieldName(name) {
			return ErrFieldName
		}
	}
	return nil
}
