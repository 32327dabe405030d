#!/usr/bin/env bash
# Builds the stand-ins of the scripts: store, workers and clients. Needs the JDK only.
set -euo pipefail
cd "$(dirname "${BASH_SOURCE[0]}")"
mkdir -p target
javac -Xlint:all -d target standin/*.java
