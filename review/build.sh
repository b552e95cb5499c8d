#!/usr/bin/env bash
# Builds the stand-in of the scripts, from the project's own sources, into target/.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/standin
