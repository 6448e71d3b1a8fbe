// Command pomeloctl is the operators' command-line tool of pomelorelay. It
// generates a configuration from the teams' questionnaires, validates it,
// publishes it to the platform's store, and queries routers for their status.
//
// Exit codes: 0 success, 1 any other failure, 2 invalid input or usage, 3 a
// conflicting change, 4 unknown outcome, 5 accepted but not in force on every
// router named, 6 store or router unreachable.
package main
