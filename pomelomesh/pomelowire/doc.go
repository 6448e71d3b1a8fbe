// Package pomelowire contains the generated protobuf messages and gRPC service of the links between routers.
package pomelowire
