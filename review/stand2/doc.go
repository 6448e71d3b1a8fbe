// Command stand2 plays the cases of the second review: it starts routers as separate processes, with stand-ins of the
// platform's store, of servers and of clients around them, and checks a rule by what the clients and servers saw.
package main
