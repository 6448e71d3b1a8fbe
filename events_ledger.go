package pomelorelay

var ledgerEvents = []EventInfo{}
