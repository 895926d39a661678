#!/usr/bin/env bash
# Builds the programs of the cases, with the stand-ins in them, into review/bin/.
set -euo pipefail
cd "$(dirname "$0")"
GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -o bin/ ./...
