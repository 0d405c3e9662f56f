#!/bin/sh
# Exit status: 1 the rule was broken, 0 it held, 2 the case could not run.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/rattanspur ] && [ -x target/review-standin ] || exit 2
exec target/review-standin silent-store review/4 target/rattanspur
