#!/bin/bash
# Builds the stand-ins of the cases 6 to 10 into target/review-2/. Needs no network.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-2
GOFLAGS="${GOFLAGS:-} -buildvcs=false" go build -C review/lab2 -o "$PWD/target/review-2/lab" .
