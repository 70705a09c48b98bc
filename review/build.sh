#!/usr/bin/env bash
# Builds the stand-ins and test clients of the cases. Needs Go only, no network.
set -euo pipefail
cd "$(dirname "$0")"
GOWORK=off GOFLAGS=-mod=mod go build -o bin/harness ./harness
