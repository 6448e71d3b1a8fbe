// Command pomeloctl is the operators' program of pomelorelay: it makes a
// configuration of teams' answers, checks it, brings it into the platform's
// store, and asks routers how they are.
//
// Exit codes: 0 success, 1 another failure, 2 bad input or usage, 3 a lost
// race, 4 an outcome that is not known, 5 accepted but not in force everywhere
// asked, 6 store or router out of reach.
package main
