#!/usr/bin/env bash
# The store is down for 4.5 s while workers end many short tasks: ends beyond the 500 that a worker lists are taken for lost runs.
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out.
exec "$(dirname "$0")/../play.sh" many-ends "$(dirname "$0")"
