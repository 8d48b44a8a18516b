#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the review start, with the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standin"
go build -o ../../target/review/standin .
