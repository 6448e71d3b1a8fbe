// Package pomelolistener accepts clients' connections and bounds the memory, the descriptors and the time that they hold, whatever the clients send or
// leave unread. All connections of a process share one account of memory. When it or a port is full, connections that hold up the router give way to
// others: first those whose clients do not read, then those that are longest in sending a request, then the ones that are idle for longest. A request that
// has been read completely is given up only if its client does not read the answer.
package pomelolistener
