#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases with a script, after the build of
# the deploy file. Each becomes one file in target/review-3.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for play in review/{11,12,13,14,15}/play.ts; do
  [ -e "$play" ] || continue
  number="$(basename "$(dirname "$play")")"
  node_modules/.bin/esbuild "$play" --outfile="target/review-3/$number.cjs" \
    --bundle --platform=node --format=cjs --target=node20 --log-level=warning \
    --alias:cbor-extract=./scripts/absent_module.cjs \
    --log-override:empty-import-meta=silent
done
