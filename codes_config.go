package pomelorelay

var configCodes = []CodeInfo{}
