package pomelorelay

var fairCodes = []CodeInfo{}
