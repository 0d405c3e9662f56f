#!/bin/sh
# Plays the case; see claim.txt. Needs the build of the deploy file and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
exec target/review-2/standin-2 begun target/rattanspur review/7/record.txt
