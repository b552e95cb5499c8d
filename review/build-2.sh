#!/usr/bin/env bash
# Builds the stand-in that the scripts of review/4 to review/8 start; it holds the project's own store of the emulated
# platform. The hosts come from the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/ ./review/standin-2
