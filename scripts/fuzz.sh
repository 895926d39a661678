#!/usr/bin/env bash
# Runs each fuzz target of the repository for FUZZTIME (default 10 s) with WORKERS
# workers (default 4).
set -euo pipefail
cd "$(dirname "$0")/.."

time=${FUZZTIME:-10s}
targets=$(git grep -oE '^func Fuzz[A-Za-z0-9_]+' -- '*_test.go' | sed 's/:func /:/')
if [ -z "$targets" ]; then
  echo "no fuzz targets" >&2
  exit 1
fi
while IFS=: read -r file target; do
  package=./$(dirname "$file")
  echo "== $package $target"
  go test -run '^$' -fuzz "^$target\$" -fuzztime "$time" -parallel "${WORKERS:-4}" "$package"
done <<<"$targets"
