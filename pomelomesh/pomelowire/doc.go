// Package pomelowire holds the generated protobuf messages of the links between routers.
package pomelowire
