package pomeloload

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay"
	"github.com/pomelorelay/pomelorelay/pomelocheck"
	"github.com/pomelorelay/pomelorelay/pomelofake"
)

// request is a request of a caller, sent in one or more attempts. Its body is unique, and the body's digest identifies the runs and
// the answers of the request.
type request struct {
	account Account
	service Service
	load    Load
	id      string
	body    []byte
	digest  pomelofake.BodyDigest
}

func (q request) content() pomelocheck.ContentID { return pomelocheck.ContentID(q.digest) }

// chatBody is the body of a request to a model engine.
type chatBody struct {
	Model     pomelorelay.ModelID `json:"model"`
	Messages  []chatMessage       `json:"messages"`
	MaxTokens int                 `json:"max_tokens"`
	Stream    bool                `json:"stream"`
	User      string              `json:"user"`
}

type chatMessage struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

// plainBody is the body of a request to a plain service.
type plainBody struct {
	Booking  string
	SlotTime string `json:",omitempty"`
}

// promptFiller is repeated to reach the prompt's length; the stand-in counts four bytes as a token.
const promptFiller = "clasp worn, stone loose, ring bent; "

func newRequest(account Account, service Service, load Load, n uint64) (request, error) {
	id := fmt.Sprintf("%s-%s-%d", account.Name, service.Name, n)
	q := request{account: account, service: service, load: load, id: id}
	body, err := json.Marshal(q.payload())
	if err != nil {
		return request{}, err
	}
	q.body = body
	q.digest = pomelofake.DigestBody(body)
	return q, nil
}

func (q request) payload() any {
	if q.service.Kind == Plain {
		return plainBody{Booking: q.id, SlotTime: slotTime(q.load.SlotTime)}
	}
	prompt := string(q.account.Name) + ": " + strings.Repeat(promptFiller, q.load.PromptTokens*4/len(promptFiller)) + q.load.PromptMarker + q.id
	return chatBody{
		Model:     q.service.Model,
		Messages:  []chatMessage{{"user", prompt}},
		MaxTokens: q.load.MaxTokens,
		Stream:    q.load.Stream,
		User:      q.id,
	}
}

func slotTime(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return d.String()
}

// path returns the URL path at the upstream.
func (q request) path() string {
	if q.service.Kind == ModelEngine {
		return "/v1/chat/completions"
	}
	return "/" + strings.TrimPrefix(q.service.Path, "/")
}
