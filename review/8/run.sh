#!/usr/bin/env bash
cd "$(dirname "$0")" || exit 2
exec ../play-2.sh "$PWD" recorded-too-early
