#!/usr/bin/env bash
# Builds what the scripts of review/11 to review/15 start beside target/azurehatch.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -tags review3 -o target/standins-3 ./review/standins-3
