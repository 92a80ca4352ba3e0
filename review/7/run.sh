#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not
# run. TROUBLE=0 leaves the disruption out.
set -uo pipefail
folder=$(cd "$(dirname "$0")" && pwd)
cd "$folder/../.." || exit 2
[ -x target/review-2/cases ] || { echo "run review/build-2.sh first" >&2; exit 2; }
exec target/review-2/cases stale-leader "$folder/record.txt"
