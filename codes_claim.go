package pomelorelay

// Result codes of claims, 1300 to 1399.
const (
	CodeClaimKeyNeeded   ResultCode = 1300
	CodeClaimKeyBounds   ResultCode = 1301
	CodeClaimRefused     ResultCode = 1302
	CodeClaimRunning     ResultCode = 1303
	CodeClaimUnknown     ResultCode = 1304
	CodeClaimConflict    ResultCode = 1305
	CodeClaimOutcomeGone ResultCode = 1306
)

var claimCodes = []CodeInfo{
	{CodeClaimKeyNeeded, "ClaimKeyNeeded", 400, RanNo, "The service's calls may not be repeated and the request has no Idempotency-Key.", "Send it with an Idempotency-Key."},
	{CodeClaimKeyBounds, "ClaimKeyBounds", 400, RanNo, "The Idempotency-Key is longer than 255 bytes.", "Send a shorter one."},
	{CodeClaimRefused, "ClaimRefused", 503, RanNo, "The claim could not be made durable, so the request was not sent.", "Send it again with the same key after Retry-After."},
	{CodeClaimRunning, "ClaimRunning", 409, RanUnknown, "A request with the same key is still running.", "Ask again with the same key after Retry-After."},
	{CodeClaimUnknown, "ClaimUnknown", 409, RanUnknown, "A request with the same key may have run and its outcome is not known; it is never run again.", "Look into the service itself before using a new key."},
	{CodeClaimConflict, "ClaimConflict", 422, RanNo, "The key was used before with another request body.", "Use a new key for a new request."},
	{CodeClaimOutcomeGone, "ClaimOutcomeGone", 409, RanYes, "A request with the same key ran; its answer was too large to keep.", "Look the result up in the service itself."},
}
