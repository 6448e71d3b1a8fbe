// Package pomelomesh carries control messages between routers over gRPC
// streams with mutual TLS. It counts bytes by link class and keeps the send
// rate of each class within a byte budget: messages of UrgencyHigh are always
// sent, the others wait and coalesce.
//
// Messages of the same urgency to the same peer keep their order.
package pomelomesh
