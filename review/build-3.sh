#!/bin/sh
# Builds the stand-ins and clients that the scripts of cases 11 to 13 start, after the build line of deploy/system.toml.
set -eu
cd "$(dirname "$0")/.."
mkdir -p target
go build -ldflags=-linkmode=external -o target/review-probe ./review/_probe
