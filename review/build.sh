#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. The programs of the project are built by the deploy
# file.
set -euo pipefail
cd "$(dirname "$0")/standins"
exec cargo build --release --locked --offline
