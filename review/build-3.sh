#!/bin/sh
# Builds the stand-ins of the third review, which need no module but Go's own library.
set -e
cd "$(dirname "$0")/rig-3"
GOWORK=off GOPROXY=off GOFLAGS=-mod=mod GOTOOLCHAIN=local go build -o ../../target/review-3/rig3 .
