#!/bin/sh
# Builds the stand-ins of the review's scripts into target/.
set -e
cd "$(dirname "$0")/standin"
go build -o ../../target/review-standin .
