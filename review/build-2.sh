#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10. They use the standard library only.
set -euo pipefail
cd "$(dirname "$0")/standins-2"
mkdir -p ../../target/review-2
go build -o ../../target/review-2/ .
