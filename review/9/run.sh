#!/usr/bin/env bash
# An account with a prepaid budget asks for generations that are answered whole instead of as a stream.
cd "$(dirname "$0")/../.."
exec target/review-2/reviewcases plain-generation review/9
