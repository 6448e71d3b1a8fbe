package pomelorelay

var meshEvents = []EventInfo{}
