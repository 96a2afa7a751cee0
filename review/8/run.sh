#!/usr/bin/env bash
# The store's answer to a daemon's registration is lost; two daemons then grant the same endpoint's permits.
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out; reviewcases reads it
exec target/review-2/reviewcases registration review/8
