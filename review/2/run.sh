#!/usr/bin/env bash
# A recurring job with eight hours of due occurrences: each daemon that leads hangs and loses the lead, and no job is started any more.
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out.
exec "$(dirname "$0")/../play.sh" backlog "$(dirname "$0")"
