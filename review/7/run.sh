#!/usr/bin/env bash
# Registry entries expire while the store is down for a second: a draining worker is taken for gone, and its task runs twice.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out.
exec ../play-2.sh "$PWD" lapsed-entry
