#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if it could not run.
cd "$(dirname "$0")/../.." || exit 2
exec node target/review-2/8.cjs review/8
