package pomelorelay

// Result codes of crash suspects and quarantine, 1400 to 1499.
const (
	CodeQuarantined ResultCode = 1400
	CodeSuspectHeld ResultCode = 1401
)

var quarantineCodes = []CodeInfo{
	{CodeQuarantined, "Quarantined", 503, RanNo, "The request, or others with a part of its prompt, crashed upstreams and is refused for a while.", "Change the request; operators may lift the quarantine."},
	{CodeSuspectHeld, "SuspectHeld", 503, RanNo, "The request ran where an upstream crashed and no place to run it alone was found in time.", "Send it again after Retry-After."},
}
