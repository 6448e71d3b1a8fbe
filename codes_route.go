package pomelorelay

var routeCodes = []CodeInfo{}
