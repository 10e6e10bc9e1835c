#!/usr/bin/env bash
# Builds the stand-ins of all cases. The product is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -o target/review-stand ./review/stand
