#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
for f in target/sassafrasrail target/review-2/lab; do
	[ -x "$f" ] || { echo "$f is missing" >&2; exit 2; }
done
exec target/review-2/lab parts review/10
