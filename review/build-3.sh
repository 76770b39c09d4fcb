#!/usr/bin/env bash
# Builds the stand-ins of the script cases of the third review. The programs of the deploy
# file are built before, as it says.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/standin3 ./review/standin3
