#!/usr/bin/env bash
# Plays the case with real processes; TROUBLE=0 leaves the disruption out.
cd "$(dirname "$0")" || exit 2
[ -x ../bin/harness ] || exit 2
exec ../bin/harness stall ../.. .
