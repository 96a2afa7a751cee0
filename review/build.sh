#!/bin/sh
# Builds the stand-ins of the scripts. The program itself is built as deploy/system.toml says.
set -e
cd "$(dirname "$0")/standins"
mkdir -p ../bin
go build -o ../bin/standins .
