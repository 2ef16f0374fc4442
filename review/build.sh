#!/bin/sh
# Builds every stand-in that a case's run.sh starts: one program, review/bin/standins, with a subcommand for each case.
# It uses the repository's own packages (internal/platform/standin for discovery, internal/platform/http1) and no other dependency.
set -e
cd "$(dirname "$0")/.."
mkdir -p review/bin
CGO_ENABLED=1 go build -ldflags=-linkmode=external -o review/bin/standins ./review/standins
