#!/usr/bin/env bash
# The store's answer to a daemon's registration is lost; two daemons then grant the same endpoint's permits.
cd "$(dirname "$0")/../.."
exec target/review-2/reviewcases registration review/8
