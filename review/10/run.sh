#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run. See claim.txt.
# TROUBLE=0 leaves the disruption out.
set -u
here=$(cd "$(dirname "$0")" && pwd)
cd "$here/../.." || exit 2
for program in target/samphireway target/review-2/scene; do
    [ -x "$program" ] || { echo "$program is missing: run the build of the deploy file and review/build-2.sh" >&2; exit 2; }
done
timeout -k 5 110 target/review-2/scene late-removal "$here/record.txt"
code=$?
[ "$code" -le 2 ] || code=2
exit "$code"
