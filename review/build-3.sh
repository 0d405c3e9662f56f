#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the third review start. The program under test is
# built before by the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/standin-3"
GOWORK=off go build -o world.out .
