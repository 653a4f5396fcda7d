#!/usr/bin/env bash
# A daemon that leads 120 workers is killed and restarted again and again: tasks run twice.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out.
exec ../play-2.sh "$PWD" killed-again
