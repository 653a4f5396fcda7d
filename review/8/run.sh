#!/usr/bin/env bash
# The leader is killed and restarted twice while a worker drains, which is cut off the second time: its task runs twice.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out.
exec ../play-2.sh "$PWD" recorded-too-early
