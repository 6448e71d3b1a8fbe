#!/bin/sh
# Generates the Go code of the control messages; requires protoc (Debian: protobuf-compiler).
set -eu
tools=$(mktemp -d)
trap 'rm -rf "$tools"' EXIT
go build -o "$tools/" google.golang.org/protobuf/cmd/protoc-gen-go google.golang.org/grpc/cmd/protoc-gen-go-grpc
PATH="$tools:$PATH" protoc --go_out=. --go_opt=paths=source_relative --go-grpc_out=. --go-grpc_opt=paths=source_relative pomelomesh/pomelowire/wire.proto
