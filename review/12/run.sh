#!/usr/bin/env bash
# Plays the case. Exit code 1: the rule was broken, 0: it held, 2: the case could not be played. TROUBLE=0 leaves out the
# disruption.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-rig3 --record review/12/record.txt removal
