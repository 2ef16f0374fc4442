#!/bin/sh
# Builds the stand-ins of the second review's cases (6 to 10). They are one program; it is run from the root of the repository.
set -eu
cd "$(dirname "$0")/.."
mkdir -p bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o bin/review-standins-2 ./review/standins-2
