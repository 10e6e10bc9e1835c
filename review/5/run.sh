#!/usr/bin/env bash
# Plays the case. Exit code: 1 the rule is broken, 0 it holds, 2 the case could not run.
# TROUBLE=0 does the same without the disruption.
cd "$(dirname "$0")/../.." || exit 2
[ -x target/ebonyscale ] && [ -x target/review-stand ] || { echo "build the product and review/build.sh first"; exit 2; }
exec target/review-stand release review/5/record.txt
