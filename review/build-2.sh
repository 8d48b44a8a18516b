#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the second review start. Run it after the build line of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review2 ./review/standin2
