#!/usr/bin/env bash
# Builds the stand-ins of the review's cases into review/build/. Run after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
flags=(-std=c++20 -O1 -Wall -Wextra -Wno-missing-field-initializers -pthread -I stage -I /usr/include/jsoncpp)
g++ "${flags[@]}" -c stage/stage.cc -o build/stage.o
for source in [1-5]/case.cc; do
    [ -f "$source" ] || continue
    g++ "${flags[@]}" "$source" build/stage.o -ljsoncpp -o "build/case-$(dirname "$source")" &
done
for job in $(jobs -p); do wait "$job"; done
