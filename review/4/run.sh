#!/bin/bash
# Runs the scene of this case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
# TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")/../.." || exit 2
scene=target/review-2/scene
trouble="${TROUBLE:-1}"
if [ ! -x "$scene" ] || [ ! -x target/release/wardtiller-fleet ]; then
    echo "build the deploy file's program and run review/build-2.sh first"
    exit 2
fi
status=0
timeout --kill-after=5 110 "$scene" lost-commit review/4/record.txt "$trouble" || status=$?
case "$status" in
0 | 1) exit "$status" ;;
*) exit 2 ;;
esac
