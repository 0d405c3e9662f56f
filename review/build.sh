#!/bin/sh
# Builds the stand-ins that the cases start, after the build of the deploy file.
set -e
cd "$(dirname "$0")/standin"
GOWORK=off go build -buildvcs=false -o ../../target/review-standin .
