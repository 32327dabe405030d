#!/usr/bin/env bash
# Builds the stand-ins and cases in review/standin-2; needs only the JDK.
set -e
cd "$(dirname "$0")/.."
rm -rf target/review-2
mkdir -p target/review-2
javac -d target/review-2 review/standin-2/*.java
