package pomelorelay

import (
	"errors"
	"fmt"
	"time"
)

// ResultCode numbers an outcome that a caller, an operator or a log reader may meet; docs/RESULTCODES.md lists them.
type ResultCode int

// Ran tells whether a refused or failed request ran on an upstream.
type Ran string

// The three answers to whether a request ran.
const (
	RanNo      Ran = "No"
	RanYes     Ran = "Yes"
	RanUnknown Ran = "Unknown"
)

// CodeInfo describes a result code for the table in the docs and for answers.
type CodeInfo struct {
	Code       ResultCode
	Name       string
	HTTPStatus int
	Ran        Ran
	Meaning    string
	Advice     string
}

// Error is a failure with a numbered result code.
type Error struct {
	Code       ResultCode
	Ran        Ran
	RetryAfter time.Duration
	Detail     string
	Cause      error
}

// Error returns the code, its name, the detail and the cause in one line.
func (e *Error) Error() string {
	text := fmt.Sprintf("%d %s", e.Code, e.Code.Info().Name)
	if e.Detail != "" {
		text += ": " + e.Detail
	}
	if e.Cause != nil {
		text += ": " + e.Cause.Error()
	}
	return text
}

// Unwrap returns the cause.
func (e *Error) Unwrap() error { return e.Cause }

// NewError returns an Error whose Ran is the one that the code's table row gives.
func NewError(code ResultCode, detail string, cause error) *Error {
	return &Error{Code: code, Ran: code.Info().Ran, Detail: detail, Cause: cause}
}

// CodeOf returns the result code that err carries, CodeInternal for another error and zero for nil.
func CodeOf(err error) ResultCode {
	if err == nil {
		return 0
	}
	var coded *Error
	if errors.As(err, &coded) {
		return coded.Code
	}
	return CodeInternal
}

// IsErrCode reports whether err carries the result code.
func IsErrCode(err error, code ResultCode) bool { return err != nil && CodeOf(err) == code }

// Codes returns every result code in rising order.
func Codes() []CodeInfo {
	tables := [][]CodeInfo{generalCodes, fairCodes, routeCodes, claimCodes, quarantineCodes, configCodes, storeCodes, meshCodes, benchCodes}
	var all []CodeInfo
	for _, table := range tables {
		all = append(all, table...)
	}
	return all
}

// Info returns the code's row of the table, or one that says unknown.
func (c ResultCode) Info() CodeInfo {
	if info, ok := codeIndex[c]; ok {
		return info
	}
	return CodeInfo{Code: c, Name: "Unknown", HTTPStatus: 500, Ran: RanUnknown}
}

var codeIndex = indexCodes()

func indexCodes() map[ResultCode]CodeInfo {
	index := make(map[ResultCode]CodeInfo)
	for _, info := range Codes() {
		index[info.Code] = info
	}
	return index
}
