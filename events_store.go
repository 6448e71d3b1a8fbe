package pomelorelay

var storeEvents = []EventInfo{}
