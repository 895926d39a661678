#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, and 2 if the case could not run. TROUBLE=0 leaves
# out the disruption. Needs the build of the deploy file and of review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
[ -x review/rig3/bin/rig3 ] && [ -x target/sassafrasrail ] || exit 2
timeout 110 review/rig3/bin/rig3 case refused review/11
case $? in
0) exit 0 ;;
1) exit 1 ;;
esac
exit 2
