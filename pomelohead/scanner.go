package pomelohead

import (
	"errors"

	"golang.org/x/net/http/httpguts"
)

// Errors of malformed heads.
var (
	ErrStatusLine = errors.New("status line of the answer is malformed")
	ErrStatus     = errors.New("status of the answer is not in the range of HTTP")
	ErrFieldName  = errors.New("name of a header field of the answer is malformed")
	ErrFieldValue = errors.New("value of a header field of the answer is malformed")
	ErrFolded     = errors.New("header field of the answer is folded")
	ErrFields     = errors.New("answer has too many header fields")
)

// MaxFields is the largest number of fields that the heads of an answer may have. A parsed field takes many times the memory of its bytes.
const MaxFields = 500

// statusLine is the part of a status line before the reason; a zero stands for any digit.
const statusLine = "HTTP/0.0 000"

// firstStatusDigit is the index of the first digit of the status in statusLine.
const firstStatusDigit = len(statusLine) - 3

// state is what the next byte of a head belongs to.
type state int

const (
	// stateStatusLine is the part of a status line that statusLine describes.
	stateStatusLine state = iota
	// stateReasonStart is the first byte after the status.
	stateReasonStart
	stateReason
	// stateReasonEnd and stateValueEnd are the line feeds after the carriage returns of status lines and fields, stateHeadEnd is that of a blank line.
	stateReasonEnd
	stateLineStart
	stateName
	stateValue
	stateValueEnd
	stateHeadEnd
	// stateDone is the body of the final answer.
	stateDone
)

// Scanner checks the head of an answer as its bytes arrive, also the heads of 1xx answers before it. The zero Scanner is ready for use.
type Scanner struct {
	state state
	// matched is the number of bytes of statusLine that were read.
	matched int
	// fields is the number of fields that began.
	fields int
	// interim is set in the head of a 1xx answer, which another head follows.
	interim bool
	err     error
}

// Reset prepares the scanner for the next answer.
func (s *Scanner) Reset() { *s = Scanner{} }

// Err returns the error that Scan has returned, nil for none.
func (s *Scanner) Err() error { return s.err }

// Done reports whether the head of the final answer is complete.
func (s *Scanner) Done() bool { return s.state == stateDone }

// Scan checks the next bytes of an answer; it ignores bytes after the head. It fails once a head is malformed.
func (s *Scanner) Scan(p []byte) error {
	for _, b := range p {
		if s.err != nil || s.Done() {
			break
		}
		after, err := s.next(b)
		if err != nil {
			s.err = err
			break
		}
		s.state = after
	}
	return s.err
}

// next returns the state after a byte; with an error the state has no meaning.
func (s *Scanner) next(b byte) (state, error) {
	switch s.state {
	case stateStatusLine:
		return s.nextOfStatusLine(b)
	case stateReasonStart:
		if b != ' ' && b != '\r' && b != '\n' {
			return s.state, ErrStatusLine
		}
		return nextOfText(b, stateReason, stateReasonEnd, ErrStatusLine)
	case stateReason:
		return nextOfText(b, stateReason, stateReasonEnd, ErrStatusLine)
	case stateReasonEnd:
		return nextOfLineEnd(b, stateLineStart, ErrStatusLine)
	case stateLineStart:
		return s.nextOfLine(b)
	case stateName:
		return nextOfName(b)
	case stateValue:
		return nextOfText(b, stateValue, stateValueEnd, ErrFieldValue)
	case stateValueEnd:
		return nextOfLineEnd(b, stateLineStart, ErrFieldValue)
	case stateHeadEnd:
		return nextOfLineEnd(b, s.afterHead(), ErrFieldName)
	}
	return s.state, nil
}

func (s *Scanner) nextOfStatusLine(b byte) (state, error) {
	want := statusLine[s.matched]
	if isDigit := b >= '0' && b <= '9'; b != want && (want != '0' || !isDigit) {
		return s.state, ErrStatusLine
	}
	if s.matched == firstStatusDigit {
		if b < '1' || b > '5' {
			return s.state, ErrStatus
		}
		s.interim = b == '1'
	}
	s.matched++
	if s.matched < len(statusLine) {
		return stateStatusLine, nil
	}
	s.matched = 0
	return stateReasonStart, nil
}

// nextOfLine returns the state after the first byte of a line that follows the status line.
func (s *Scanner) nextOfLine(b byte) (state, error) {
	switch b {
	case '\r':
		return stateHeadEnd, nil
	case '\n':
		return s.afterHead(), nil
	case ' ', '\t':
		return s.state, ErrFolded
	case ':':
		return s.state, ErrFieldName
	}
	if s.fields++; s.fields > MaxFields {
		return s.state, ErrFields
	}
	return nextOfName(b)
}

// afterHead returns the state after the end of a head.
func (s *Scanner) afterHead() state {
	if s.interim {
		return stateStatusLine
	}
	return stateDone
}

func nextOfName(b byte) (state, error) {
	if b == ':' {
		return stateValue, nil
	}
	if !httpguts.IsTokenRune(rune(b)) {
		return stateName, ErrFieldName
	}
	return stateName, nil
}

// nextOfText returns the state after a byte of a reason or value: text, or end after a carriage return.
func nextOfText(b byte, text, end state, malformed error) (state, error) {
	switch {
	case b == '\n':
		return stateLineStart, nil
	case b == '\r':
		return end, nil
	case (b < ' ' && b != '\t') || b == 0x7f:
		return text, malformed
	}
	return text, nil
}

// nextOfLineEnd returns the state after the byte that follows a carriage return.
func nextOfLineEnd(b byte, after state, malformed error) (state, error) {
	if b != '\n' {
		return after, malformed
	}
	return after, nil
}
