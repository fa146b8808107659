#!/bin/sh
# Checks the stand-ins of the scripts. They are plain modules of Node.js without dependencies,
# so that nothing has to be compiled.
set -eu
cd "$(dirname "$0")"
for file in *.mjs [1-5]/*.mjs; do
  node --check "$file"
done
