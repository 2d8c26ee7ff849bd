#!/bin/sh
# Builds the stand-ins of the second review, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
export CGO_ENABLED=1
go build -tags review -o target/review-2/tools-2 ./review/tools-2
