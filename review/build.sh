#!/bin/sh
# Builds the stand-ins of the scripts: compiles them and the project's own, which they use.
# Needs no network; the deploy file's build has laid the libraries into target/deps before.
set -eu
cd "$(dirname "$0")/.."
python3 -m compileall -q review lagoonlever/fakes lagoonlever/platform
PYTHONPATH=target/deps python3 -c "import lagoonlever.fakes.metadata_store, trio, msgspec, h11"
