#!/bin/sh
# Builds the stand-ins of the scripts: clients, runners and the platform, in one program.
set -e
cd "$(dirname "$0")/.."
go build -tags review -o target/review-stand ./review/stand
