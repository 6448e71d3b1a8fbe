package pomelorelay

var benchEvents = []EventInfo{}
