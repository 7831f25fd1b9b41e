#!/usr/bin/env bash
# Builds the stand-ins and drivers of the scripts of the second review. They need the standard
# library only. The folder's name keeps it out of ./... and so out of the build, the linter and
# the tests of the project.
set -euo pipefail
cd "$(dirname "$0")/.."
export GOFLAGS=-buildvcs=false
go build -o bin/review-kit2 ./review/_kit2
