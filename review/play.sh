#!/usr/bin/env bash
# Plays one scenario: play.sh SCENARIO FOLDER. Writes FOLDER/record.txt and exits with 0 (the rule held), 1 (broken) or 2 (could not run).
set -u
folder=$(cd "$2" && pwd)
cd "$(dirname "$0")/.."
if [ ! -x target/platform/kingcupladder-node ] || [ ! -x target/review/world ]; then
  echo "run the build of deploy/system.toml and review/build.sh first" >&2
  exit 2
fi
temporary=$(mktemp -d)
trap 'rm -rf "$temporary"' EXIT
timeout --signal=TERM --kill-after=2 117 target/review/world "$1" "$temporary" "$folder/record.txt"
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
