#!/bin/sh
# Builds the stand-ins of review/stand-ins-3 into target/review-3. Run after the build of the deploy
# file, in the repository.
set -e
cd "$(dirname "$0")/.."
out=target/review-3
mkdir -p "$out"
flags="-std=c++20 -O2 -Iinclude -Iplatform -Iunittests/Soak -Ireview/stand-ins-3"
for source in review/stand-ins-3/*.cc unittests/Soak/StoreStandin.cpp unittests/Soak/PortBlock.cpp; do
  object="$out/$(basename "$source").o"
  g++ $flags -c "$source" -o "$object" &
done
wait
libs="target/platform/libegretturn_Platform.a"
for lib in Node Http Scheduler JobGraph Journal CommandLine Config Support; do
  libs="$libs target/lib/libegretturn_$lib.a"
done
g++ "$out"/*.o -Wl,--start-group $libs -Wl,--end-group \
  -lboost_json -lboost_log -lboost_thread -lboost_system -lmpack -lpthread -o "$out/world"
