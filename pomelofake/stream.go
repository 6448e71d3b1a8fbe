package pomelofake

import (
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
)

// chatUsage counts the tokens of a request.
type chatUsage struct {
	PromptTokens     int               `json:"prompt_tokens"`
	CompletionTokens int               `json:"completion_tokens"`
	TotalTokens      int               `json:"total_tokens"`
	Details          chatPromptDetails `json:"prompt_tokens_details"`
}

type chatPromptDetails struct {
	CachedTokens int `json:"cached_tokens"`
}

type chatChoice struct {
	Index   int          `json:"index"`
	Delta   *chatMessage `json:"delta,omitempty"`
	Message *chatMessage `json:"message,omitempty"`
	Finish  *string      `json:"finish_reason"`
}

type chatAnswer struct {
	ID      string       `json:"id"`
	Object  string       `json:"object"`
	Model   string       `json:"model"`
	Choices []chatChoice `json:"choices"`
	Usage   *chatUsage   `json:"usage,omitempty"`
}

func (e *Engine) usage(s *sequence) *chatUsage {
	return &chatUsage{
		PromptTokens:     s.promptLen,
		CompletionTokens: s.target,
		TotalTokens:      s.promptLen + s.target,
		Details:          chatPromptDetails{CachedTokens: s.cached},
	}
}

// progress returns how many tokens there are and whether the sequence is done or cancelled, and a channel closed at the next change.
func (e *Engine) progress(s *sequence) (int, bool, bool, <-chan struct{}) {
	e.mu.Lock()
	defer e.mu.Unlock()
	return s.produced, s.done, s.cancelled, s.changed
}

// whole answers when the request has ended.
func (e *Engine) whole(w http.ResponseWriter, r *http.Request, s *sequence) {
	for {
		_, done, cancelled, changed := e.progress(s)
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		if done {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	var text strings.Builder
	for n := range s.target {
		text.WriteString(s.proof.AnswerToken(n))
	}
	stop := "stop"
	message := &chatMessage{Role: "assistant", Content: text.String()}
	writeJSON(w, http.StatusOK, chatAnswer{
		ID: s.requestID, Object: "chat.completion", Model: e.cfg.Model,
		Choices: []chatChoice{{Message: message, Finish: &stop}},
		Usage:   e.usage(s),
	})
}

// stream sends one event for each token after the one numbered last, then usage and the end.
func (e *Engine) stream(w http.ResponseWriter, r *http.Request, s *sequence, last int) {
	w.Header().Set(headerContentType, "text/event-stream")
	w.WriteHeader(http.StatusOK)
	flush(w)
	sent := 0
	for {
		produced, done, cancelled, changed := e.progress(s)
		if cancelled {
			panic(http.ErrAbortHandler)
		}
		for ; last < produced; last++ {
			e.cut(sent)
			writeEvent(w, last+1, e.chunk(s, last))
			sent++
		}
		flush(w)
		if done {
			break
		}
		select {
		case <-changed:
		case <-r.Context().Done():
			return
		}
	}
	e.endStream(w, s)
}

func (e *Engine) endStream(w http.ResponseWriter, s *sequence) {
	if e.Faults().NoEnd {
		return
	}
	end := chatAnswer{ID: s.requestID, Object: "chat.completion.chunk", Model: e.cfg.Model, Choices: []chatChoice{}, Usage: e.usage(s)}
	writeEvent(w, s.target+1, end)
	_, _ = fmt.Fprint(w, "data: [DONE]\n\n")
	flush(w)
}

func (e *Engine) chunk(s *sequence, n int) chatAnswer {
	return chatAnswer{
		ID: s.requestID, Object: "chat.completion.chunk", Model: e.cfg.Model,
		Choices: []chatChoice{{Delta: &chatMessage{Content: s.proof.AnswerToken(n)}}},
	}
}

// cut breaks the connection when the fault says so.
func (e *Engine) cut(sent int) {
	e.mu.Lock()
	due := e.faults.Cuts > 0 && sent == e.faults.CutAfter
	if due {
		e.faults.Cuts--
	}
	e.mu.Unlock()
	if due {
		panic(http.ErrAbortHandler)
	}
}

func writeEvent(w http.ResponseWriter, id int, answer chatAnswer) {
	data, err := json.Marshal(answer)
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	_, _ = fmt.Fprintf(w, "id: %d\ndata: %s\n\n", id, data)
}

func flush(w http.ResponseWriter) {
	if f, ok := w.(http.Flusher); ok {
		f.Flush()
	}
}
