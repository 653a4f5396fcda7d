#!/usr/bin/env bash
# A draining worker is cut off and the leader is killed: the task of the worker runs twice.
cd "$(dirname "$0")" || exit 2
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out.
exec ../play-2.sh "$PWD" cut-worker
