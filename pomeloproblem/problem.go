package pomeloproblem

import (
	"encoding/json"

	"github.com/pomelorelay/pomelorelay"
)

// ContentType is the media type of an encoded Problem.
const ContentType = "application/problem+json"

// Problem is the body of a refusal or failure in the RFC 9457 format.
type Problem struct {
	Type   string                 `json:"type"`
	Title  string                 `json:"title"`
	Status int                    `json:"status"`
	Detail string                 `json:"detail"`
	Code   pomelorelay.ResultCode `json:"Code"`
	Ran    pomelorelay.Ran        `json:"Ran"`
}

// New returns the Problem of an error. Its detail is that of the error or, if the error has none, the meaning of the result code.
func New(e *pomelorelay.Error) Problem {
	info := e.Code.Info()
	detail := e.Detail
	if detail == "" {
		detail = info.Meaning
	}
	return Problem{Type: "about:blank", Title: info.Name, Status: info.HTTPStatus, Detail: detail, Code: e.Code, Ran: e.Ran}
}

// Encode returns the problem as JSON; encoding does not fail, since all fields are strings and numbers.
func (p Problem) Encode() []byte {
	text, err := json.Marshal(p)
	if err != nil {
		return []byte("{}")
	}
	return text
}
