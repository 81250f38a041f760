#!/usr/bin/env bash
# Builds the stand-ins of the cases 6 to 10 into build/review-2/: one program a case, with the C++ compiler and the
# standard library alone. Run it after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
out=../build/review-2
mkdir -p "$out"
for source in */case.cpp; do
  case=${source%%/*}
  "${CXX:-c++}" -std=c++20 -O1 -Wall -Wextra -pthread -o "$out/$case" "$source"
  echo "built: $case"
done
