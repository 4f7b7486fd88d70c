#!/bin/sh
# Builds the stand-ins that the scripts of cases 6 to 10 start, beside what the deploy file builds. It needs no network.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-2 ./review/_standin2
