package pomelolog

import (
	"bytes"
	"io"
	"log"

	"github.com/pomelorelay/pomelorelay"

	"google.golang.org/grpc/grpclog"
)

// CaptureLibraries redirects the standard logger, which net/http uses, and the logger of gRPC to l for the whole process. By default they
// write to the standard error stream, and block while that is a full pipe.
func CaptureLibraries(l pomelorelay.Logger) {
	w := libraryWriter{l}
	log.SetFlags(0)
	log.SetOutput(w)
	grpclog.SetLoggerV2(grpclog.NewLoggerV2(io.Discard, io.Discard, w))
}

// libraryWriter logs what is written to it as events.
type libraryWriter struct{ l pomelorelay.Logger }

// Write logs one message; it never fails.
func (w libraryWriter) Write(p []byte) (int, error) {
	w.l.Log(pomelorelay.EventLibraryMessage, pomelorelay.Field{Key: "Message", Value: string(bytes.TrimSpace(p))})
	return len(p), nil
}
