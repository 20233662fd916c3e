#!/usr/bin/env bash
# Builds the stand-ins and clients of the cases 6 to 10, after the build of the
# deploy file. Each becomes one file in target/review-2.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for play in review/{6,7,8,9,10}/play.ts; do
  [ -e "$play" ] || continue
  number="$(basename "$(dirname "$play")")"
  node_modules/.bin/esbuild "$play" --outfile="target/review-2/$number.cjs" \
    --bundle --platform=node --format=cjs --target=node20 --log-level=warning \
    --alias:cbor-extract=./scripts/absent_module.cjs \
    --log-override:empty-import-meta=silent
done
