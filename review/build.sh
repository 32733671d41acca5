#!/usr/bin/env bash
# Builds the stand-ins of all cases into review/bin. The program of the deploy file is built by the deploy file.
set -eu
cd "$(dirname "$0")/standin"
GOWORK=off go build -o ../bin/ ./cases
