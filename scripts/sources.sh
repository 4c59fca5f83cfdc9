#!/bin/sh
# Lists the C sources that are not generated.
cd "$(dirname "$0")/.." || exit 1
find lib platform programs tests -name '*.[ch]' ! -name '*.pb-c.[ch]' | sort
