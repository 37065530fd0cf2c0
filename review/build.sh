#!/usr/bin/env bash
# Builds the program of the scripts: its stand-ins for the clients, the engines and the link between an engine and the
# store are in review/_cases; the store's stand-in is the project's own, standin.KeyedStore.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-cases ./review/_cases
