#!/usr/bin/env bash
# Plays the case refused-runs; see claim.txt. Build the program of the deploy file and run review/build.sh before.
set -u
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x review/bin/cases ] || [ ! -x target/auburnstack ]; then
  echo "not built"
  exit 2
fi
exec review/bin/cases refused-runs review/1
