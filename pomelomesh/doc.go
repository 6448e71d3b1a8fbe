// Package pomelomesh carries control messages between routers over grpc
// streams with mutual TLS. It counts bytes by link class and keeps them within
// a budget: messages of UrgencyNow always leave, the others wait and coalesce.
//
// Messages to one peer keep their order within one urgency.
package pomelomesh
