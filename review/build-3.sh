#!/usr/bin/env bash
# Builds the stand-ins of the third review, which need nothing but the standard library.
set -euo pipefail
cd "$(dirname "$0")/rig3"
GOTOOLCHAIN=local GOFLAGS=-mod=mod GOPROXY=off go build -buildvcs=false -o bin/rig3 .
