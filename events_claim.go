package pomelorelay

var claimEvents = []EventInfo{}
