#!/usr/bin/env bash
# Builds the stand-ins of the cases: one program, which starts the project's programs out of target/ itself.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -buildvcs=false -tags review -o target/stand ./review/stand
