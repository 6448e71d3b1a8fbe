package pomelorelay

var fairEvents = []EventInfo{}
