#!/usr/bin/env bash
# Runs the tests. Known failures, listed in KNOWN-RED.txt as "test: PACKAGE TEST", run
# separately; their results are printed and do not fail the script.
#
# The policy bench and srgossip, whose tests simulate fleets of 1,000 instances, start no
# goroutines and run without the race detector. The proofs in virtual time
# (internal/proof/srrig) all run without it, and only some of them with it as well: in the
# others, which start many goroutines, the runtime of the detector fails an internal check
# ("tsan_rtl.cpp: CHECK failed").
set -euo pipefail
cd "$(dirname "$0")/.."

bench=./internal/bench/srbench
gossip=./internal/state/srgossip
platform=./platform
# Tests of the platform wait most of the time, for instances that stop and for silences.
platform_parallel=16
proofs=./internal/proof/srrig
processes=./internal/proof/srprocess
raced_proofs='^(TestRigServes|TestUnusedTicketIsNotCalledNotRun|TestFreshInstanceDoesNotCallAUsedTicketNotRun|TestManifestChangeDoesNotCallAUsedTicketNotRun)$'
list=KNOWN-RED.txt
[ -f "$list" ] || list=/dev/null

# pattern reads names of tests and subtests, one per line, and prints a pattern for
# -run and -skip that matches exactly these.
pattern() {
  local names
  names=$(sed 's#/#$/^#g; s#^#^#; s#$#$#' | paste -sd '|')
  echo "${names:-^nothing\$}"
}

# known prints the names of the known failures of a package.
known() {
  sed -n "s#^test: *$1 ##p" "$list"
}

known_packages=$(sed -n 's/^test: *\([^ ]*\) .*/\1/p' "$list" | sort -u)
others=$(go list ./... | sed 's#^github.com/sassafrasrail/sassafrasrail#.#' | grep -v '^\./gen/' | grep -vxF -e "$bench" -e "$gossip" -e "$platform" -e "$proofs" -e "$processes")
for package in $known_packages; do
  others=$(grep -vxF "$package" <<<"$others")
done
known_packages=$(grep -vxF -e "$bench" -e "$gossip" -e "$platform" -e "$proofs" -e "$processes" <<<"$known_packages" || true)

# A failure ends the tests that still run.
trap 'jobs -p | xargs -r kill' EXIT
# The platform, the bench and the packages with known failures run beside the others.
go test -race -parallel "$platform_parallel" -skip "$(known "$platform" | pattern)" "$platform" &
runs=($!)
go test -skip "$(known "$bench" | pattern)" "$bench" &
runs+=($!)
go test -skip "$(known "$gossip" | pattern)" "$gossip" &
runs+=($!)
for package in $known_packages; do
  go test -race -skip "$(known "$package" | pattern)" "$package" &
  runs+=($!)
done
# shellcheck disable=SC2086
go test -race $others
for run in "${runs[@]}"; do
  wait "$run"
done
go test -skip "$(known "$proofs" | pattern)" "$proofs"
go test -race -parallel 1 -run "$raced_proofs" "$proofs"
# These tests build the programs that they run, so a cached result may be out of date.
go test -count=1 -skip "$(known "$processes" | pattern)" "$processes"

# Run the known failures and print their results.
sed -n 's/^test: *//p' "$list" | while read -r package name; do
  echo "known red: $package $name"
  go test -run "$(pattern <<<"$name")" "$package" 2>&1 | grep -E '^ *--- FAIL|_test.go:|^ok' | head -5 || true
done
