#!/bin/sh
# Builds the stand-ins of the cases of the second review. The build line of deploy/system.toml comes first.
set -e
cd "$(dirname "$0")/.."
mkdir -p target
go build -o target/stand2 ./review/stand2
