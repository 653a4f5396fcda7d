#!/usr/bin/env bash
# A recurring job's progress outgrows one row of the store: no final state of its part is stored any more, and no end is acknowledged.
exec "$(dirname "$0")/../play.sh" recurring "$(dirname "$0")"
