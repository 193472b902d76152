#!/bin/sh
# Builds the stand-ins and the players of the review's cases into review/bin, after the build of the deploy file.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/ ./review/cmd/...
