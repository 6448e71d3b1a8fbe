package pomeloproblem

import (
	"encoding/json"

	"github.com/pomelorelay/pomelorelay"
)

// ContentType is the media type of a problem.
const ContentType = "application/problem+json"

// Problem is the body of a refusal.
type Problem struct {
	Type   string                 `json:"type"`
	Title  string                 `json:"title"`
	Status int                    `json:"status"`
	Detail string                 `json:"detail"`
	Code   pomelorelay.ResultCode `json:"Code"`
	Ran    pomelorelay.Ran        `json:"Ran"`
}

// New describes an error.
func New(e *pomelorelay.Error) Problem {
	info := e.Code.Info()
	detail := e.Detail
	if detail == "" {
		detail = info.Meaning
	}
	return Problem{Type: "about:blank", Title: info.Name, Status: info.HTTPStatus, Detail: detail, Code: e.Code, Ran: e.Ran}
}

// Encode returns the problem as JSON; its fields are plain, so it cannot fail.
func (p Problem) Encode() []byte {
	text, err := json.Marshal(p)
	if err != nil {
		return []byte("{}")
	}
	return text
}
