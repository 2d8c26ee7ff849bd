#!/usr/bin/env bash
# Builds the stand-ins of the review's scripts. Run it in the repository root, after
# the build of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target/review
go build -tags review -o target/review/standin ./review/standin
