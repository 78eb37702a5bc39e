#!/bin/sh
# Installs the pinned packages into target/deps, and compiles them and the program.
#
# The packages have extension modules, so they are installed anew for another interpreter or platform,
# and for other pins.
set -eu

deps=target/deps
pins=requirements-gateway.txt
stamp="$deps/.built-for"

target=$(python3 -c 'import sys, sysconfig; print(sys.implementation.cache_tag, sysconfig.get_platform())')
wanted="$target $(cksum < "$pins")"

if [ "$(cat "$stamp" 2> /dev/null)" != "$wanted" ]; then
  rm -rf "$deps"
  python3 -m pip install -q --disable-pip-version-check --target "$deps" -r "$pins"
  python3 -m compileall -q "$deps"
  echo "$wanted" > "$stamp"
fi
python3 -m compileall -q wickspring
