#!/usr/bin/env bash
# Plays one script of the second review. Usage: play-2.sh FOLDER CASE. Exits with 1 if the rule was broken, 0 if it held and 2 if the case
# could not run. With TROUBLE=0 the disruptions are left out.
cd "$(dirname "$0")/.." || exit 2
folder=$1
program=$PWD/target/platform/kingcupladder-node
drill=$PWD/target/review-2/drill
if [ ! -x "$program" ] || [ ! -x "$drill" ]; then
  echo "build the daemon (build line of deploy/system.toml) and review/build-2.sh first"
  exit 2
fi
logs=$(mktemp -d)
trap 'rm -rf "$logs"' EXIT
timeout --kill-after=5 110 "$drill" "$2" "${TROUBLE:-1}" "$folder/record.txt" "$logs" "$program"
result=$?
if [ "$result" -gt 1 ]; then
  exit 2
fi
exit "$result"
