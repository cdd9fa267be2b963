#!/bin/sh
# Put the pinned libraries and the product's package where the programs look for them.
set -eu

libraries=target/deps
stamp=target/libraries.lock

if ! cmp -s requirements.lock "$stamp"; then
    echo "build: installing the pinned libraries"
    rm -rf "$libraries"
    python3 -m pip install --quiet --target "$libraries" --requirement requirements.lock
    # Compiled without a look at the sources' times: a copy of this folder would
    # otherwise compile everything anew at each start of a program.
    python3 -m compileall -q -f --invalidation-mode unchecked-hash "$libraries" || true
    cp requirements.lock "$stamp"
fi
echo "build: copying the package"
rm -rf "$libraries/rosemaryknot"
cp -R src/rosemaryknot "$libraries/rosemaryknot"
python3 -m compileall -q -f --invalidation-mode unchecked-hash "$libraries/rosemaryknot"
