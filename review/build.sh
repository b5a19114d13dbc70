#!/usr/bin/env bash
# Builds the stand-ins that the cases start. The programs under test are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/review-standin ./review/_standin
