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

// request is what a caller wants; its body is unlike any other's, so that runs and answers can be told apart by it.
type request struct {
	account Account
	service Service
	load    Load
	id      string
	body    []byte
	proof   pomelofake.BodyDigest
}

func (q request) content() pomelocheck.ContentID { return pomelocheck.ContentID(q.proof) }

// chatBody is a request to a model engine.
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

// bookingBody is a request to a plain service.
type bookingBody struct {
	Booking  string
	SlotTime string `json:",omitempty"`
}

// promptWord is repeated to make a prompt long; four bytes are a token at the stand-in.
const promptWord = "clasp worn, stone loose, ring bent; "

func newRequest(account Account, service Service, load Load, n uint64) (request, error) {
	id := fmt.Sprintf("%s-%s-%d", account.Name, service.Name, n)
	q := request{account: account, service: service, load: load, id: id}
	body, err := json.Marshal(q.document())
	if err != nil {
		return request{}, err
	}
	q.body = body
	q.proof = pomelofake.DigestBody(body)
	return q, nil
}

func (q request) document() any {
	if q.service.Kind == Plain {
		return bookingBody{Booking: q.id, SlotTime: slotTime(q.load.SlotTime)}
	}
	prompt := string(q.account.Name) + ": " + strings.Repeat(promptWord, q.load.Prompt*4/len(promptWord)) + q.load.Marker + q.id
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

// path is what is called at the upstream.
func (q request) path() string {
	if q.service.Kind == ModelEngine {
		return "/v1/chat/completions"
	}
	return "/" + strings.TrimPrefix(q.service.Path, "/")
}
