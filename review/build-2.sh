#!/bin/sh
# Builds the stand-ins of the second review's cases, into target/, from the standard library only.
cd "$(dirname "$0")/stand2" || exit 1
GOWORK=off GOFLAGS= go build -o ../../target/stand2 .
