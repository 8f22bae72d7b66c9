#!/bin/sh
# Builds target/deps: the libraries of the lock and the compiled packages.
# Libraries are installed only when the lock has changed.
set -eu
lock=requirements/runtime.lock
deps=target/deps
if ! cmp -s "$lock" target/runtime.lock; then
    rm -rf "$deps"
    python3 -m pip install --quiet --disable-pip-version-check \
        --target "$deps" --require-hashes -r "$lock"
    cp "$lock" target/runtime.lock
fi
rm -rf "$deps/primrosemill"
mkdir -p "$deps/primrosemill"
for package in cli configuration decisions fleet platform proxy published \
    telemetry; do
    cp -R "packages/$package/src/primrosemill/$package" "$deps/primrosemill/"
done
find "$deps/primrosemill" -name __pycache__ -prune -exec rm -rf {} +
python3 -m compileall -q -j 0 "$deps"
