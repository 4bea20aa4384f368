#!/bin/sh
# Builds the stand-ins of the cases into review/bin. It needs no network: they use the standard library only.
set -eu
cd "$(dirname "$0")/.."
mkdir -p review/bin
go build -o review/bin/lab ./review/testdata/lab
