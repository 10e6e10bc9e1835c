#!/bin/sh
# Builds the stand-ins that the scripts of the cases 6 to 10 start, after the build of the deploy file.
cd "$(dirname "$0")/.." || exit 2
exec go build -o target/ ./review/stand2
