#!/bin/sh
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 silence target/rattanspur review/6/record.txt
