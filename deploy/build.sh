#!/bin/sh
# Put the pinned libraries and the product's package where the programs look for them.
#
# Only those that a node loads: typer, structlog and httpx load rich, pygments and h2
# where they are there, for a terminal and a protocol that no node has, which is 0.06 s
# of the 0.48 s of processor time that a node's start took (least of twelve).
set -eu

libraries=target/deps
stamp=target/libraries.lock
wanted=target/wanted.lock

mkdir -p target
while read -r name; do
    grep "^$name==" requirements.lock || {
        echo "build: requirements.lock does not pin $name" >&2
        exit 1
    }
done <deploy/libraries.txt >"$wanted"
if ! cmp -s "$wanted" "$stamp"; then
    echo "build: installing the pinned libraries"
    rm -rf "$libraries"
    python3 -m pip install --quiet --no-deps --target "$libraries" --requirement "$wanted"
    # Compiled without a look at the sources' times: a copy of this folder would
    # otherwise compile everything anew at each start of a program.
    python3 -m compileall -q -f --invalidation-mode unchecked-hash "$libraries" || true
    cp "$wanted" "$stamp"
fi
echo "build: copying the package"
rm -rf "$libraries/rosemaryknot"
cp -R src/rosemaryknot "$libraries/rosemaryknot"
python3 -m compileall -q -f --invalidation-mode unchecked-hash "$libraries/rosemaryknot"
