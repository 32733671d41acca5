#!/usr/bin/env bash
# Builds the stand-ins of cases 6 to 10 into target/, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/rig"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/rig .
