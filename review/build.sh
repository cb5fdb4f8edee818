#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/build/.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p build
g++ -std=c++20 -O1 -o build/stage.new standin/Main.cc standin/World.cc -lboost_json -lpthread
mv build/stage.new build/stage
