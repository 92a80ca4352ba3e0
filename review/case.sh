#!/usr/bin/env bash
# case.sh FOLDER PROGRAM: plays the case in FOLDER with PROGRAM from review/out.
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
set -u
folder=$(cd "$1" && pwd)
root=$(cd "$(dirname "$0")/.." && pwd)
program="$root/review/out/$2"
if [ ! -x "$program" ] || [ ! -x "$root/target/platform/persimmonwheel" ]; then
  echo "build first: the command of deploy/system.toml, then review/build.sh" >&2
  exit 2
fi
scratch=$(mktemp -d)
trap 'rm -rf "$scratch"' EXIT
timeout -s KILL 118 "$program" "$root" "$scratch" "$folder/record.txt"
status=$?
[ "$status" -le 1 ] || status=2
exit "$status"
