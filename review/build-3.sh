#!/usr/bin/env bash
# Builds the stand-ins of the cases 11 to 15 after the build of the deploy file. It needs no network.
set -eu
cd "$(dirname "$0")/rig3"
GOWORK=off go build -o ../../target/review-rig3 .
