package pomelorelay

var configEvents = []EventInfo{}
