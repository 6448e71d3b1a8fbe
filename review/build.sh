#!/bin/sh
# Builds the stand-ins of the review's cases, with the standard library only.
set -eu
cd "$(dirname "$0")/stand"
GOWORK=off GOFLAGS=-mod=mod go build -trimpath -o ../bin/stand .
