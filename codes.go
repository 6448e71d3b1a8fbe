package pomelorelay

import (
	"errors"
	"fmt"
	"time"
)

// ResultCode is the number of an outcome reported to callers, operators or the log; docs/RESULTCODES.md lists them all.
type ResultCode int

// Ran states whether a refused or failed request ran on an upstream.
type Ran string

// Values of Ran.
const (
	RanNo      Ran = "No"
	RanYes     Ran = "Yes"
	RanUnknown Ran = "Unknown"
)

// CodeInfo describes a result code, both for the table in the documentation and for error responses.
type CodeInfo struct {
	Code       ResultCode
	Name       string
	HTTPStatus int
	Ran        Ran
	Meaning    string
	Advice     string
}

// Error is an error with a result code.
type Error struct {
	Code       ResultCode
	Ran        Ran
	RetryAfter time.Duration
	Detail     string
	Cause      error
}

// Error returns the code, its name, the detail and the cause on one line.
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

// NewError returns an Error that takes its Ran value from the code's CodeInfo.
func NewError(code ResultCode, detail string, cause error) *Error {
	return &Error{Code: code, Ran: code.Info().Ran, Detail: detail, Cause: cause}
}

// CodeOf returns the result code of the first Error in err's chain, CodeInternal if there is none, and zero for a nil err.
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

// IsErrCode reports whether err is not nil and CodeOf(err) is code.
func IsErrCode(err error, code ResultCode) bool { return err != nil && CodeOf(err) == code }

// Codes returns all result codes in ascending order.
func Codes() []CodeInfo {
	tables := [][]CodeInfo{generalCodes, fairCodes, routeCodes, claimCodes, quarantineCodes, configCodes, storeCodes, meshCodes, benchCodes}
	var all []CodeInfo
	for _, table := range tables {
		all = append(all, table...)
	}
	return all
}

// Info returns the description of the code; an undefined code is described as Unknown, with HTTP status 500.
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
