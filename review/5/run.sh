#!/usr/bin/env bash
# A route is removed and added again while a job of it is at work: the job is shown as failed after one failed run of three.
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out.
exec "$(dirname "$0")/../play.sh" removed-route "$(dirname "$0")"
