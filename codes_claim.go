package pomelorelay

var claimCodes = []CodeInfo{}
