package pomelorelay

var nodeEvents = []EventInfo{}
