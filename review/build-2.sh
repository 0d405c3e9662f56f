#!/bin/sh
# Builds the stand-ins of the scripts of the second review.
set -e
cd "$(dirname "$0")/standin-2"
GOWORK=off GOFLAGS=-buildvcs=false go build -o ../../target/review-2/standin-2 .
