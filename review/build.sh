#!/bin/sh
# Build the stand-ins that the scripts of the cases start. All are Python: those of the
# project are in its package, which the build of the deploy file puts in target/deps, and
# those of the cases are run from their folders.
set -eu
cd "$(dirname "$0")/.."
[ -d target/deps/rosemaryknot/standin/users ] || sh deploy/build.sh
PYTHONPATH=target/deps:review python3 -S -c 'import harness'
echo "build: the stand-ins of the review are there"
