#!/usr/bin/env bash
# Builds the stand-ins and clients of all cases, the project's own ones included,
# into target/review. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
for file in review/*/case.ts; do
  name="$(basename "$(dirname "$file")")"
  node_modules/.bin/esbuild "$file" --bundle --platform=node --format=cjs \
    --target=node20 --log-level=warning --outfile="target/review/$name.cjs"
done
