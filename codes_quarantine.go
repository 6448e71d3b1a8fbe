package pomelorelay

var quarantineCodes = []CodeInfo{}
