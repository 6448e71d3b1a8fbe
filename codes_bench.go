package pomelorelay

var benchCodes = []CodeInfo{}
