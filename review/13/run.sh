#!/usr/bin/env bash
# Plays case 13. Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
# TROUBLE=0 plays the same without the cuts.
set -u
here="$(cd "$(dirname "$0")" && pwd)"
[ -x "$here/../standin-3/world.out" ] && [ -x "$here/../../target/rattanspur" ] || exit 2
export TROUBLE="${TROUBLE:-1}"
exec "$here/../standin-3/world.out" drain "$here/../.." "$here/record.txt"
