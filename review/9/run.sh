#!/usr/bin/env bash
# An account with a prepaid budget asks for generations that are answered whole instead of as a stream.
cd "$(dirname "$0")/../.."
export TROUBLE="${TROUBLE:-1}" # 0 leaves the disruption out; reviewcases reads it
exec target/review-2/reviewcases plain-generation review/9
