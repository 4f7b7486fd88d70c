#!/bin/sh
# Builds every stand-in that the scripts of the review start. The nodes are built by the build line of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -o target/review-standin ./review/_standin
