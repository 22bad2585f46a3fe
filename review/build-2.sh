#!/bin/sh
# Builds the stand-ins of the cases in review/6 to review/10 that are scripts, after the build of
# deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-2/ ./review/stand-2
