#!/bin/bash
# Builds the stand-ins of the scripts in review/11 to review/15.
set -e
cd "$(dirname "$0")/.."
mkdir -p target/review-3
go build -buildvcs=false -o target/review-3/cases ./review/_kit3
