#!/bin/sh
# Exit code 1: the rule was broken; 0: it held; 2: the case could not run. With TROUBLE=0 nothing is
# disrupted. Needs the build of the deploy file and review/build-3.sh.
cd "$(dirname "$0")/../.." || exit 2
program=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
[ -x "$program" ] && [ -x target/review-3/world ] || exit 2
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
target/review-3/world cancelled "$program" "$folder" review/15/record.txt
