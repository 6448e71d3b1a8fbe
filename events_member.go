package pomelorelay

var memberEvents = []EventInfo{}
