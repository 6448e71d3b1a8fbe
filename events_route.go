package pomelorelay

var routeEvents = []EventInfo{}
