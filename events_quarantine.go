package pomelorelay

var quarantineEvents = []EventInfo{}
