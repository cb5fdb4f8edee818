#!/usr/bin/env bash
# Runs one scenario of the stand-ins against six instances, started as the deploy file says.
# Usage: run-stage.sh SCENARIO FOLDER; the record goes to FOLDER/record.txt.
# Exit codes: 0 the rule held, 1 it was broken, 2 the case could not run.
set -u
scenario=$1
case_folder=$(cd "$2" && pwd)
review=$(cd "$(dirname "$0")" && pwd)
cd "$review/.." || exit 2
program=target/platform/egretturn-instance # the 'run' of deploy/system.toml
stage=review/build/stage
[ -x "$program" ] && [ -x "$stage" ] || { echo "build first: the deploy file's build, then review/build.sh"; exit 2; }
folder=$(mktemp -d)
pids=()
finish() {
  for pid in "${pids[@]}"; do
    kill -CONT "$pid" 2>/dev/null
    kill -KILL "$pid" 2>/dev/null
    wait "$pid" 2>/dev/null
  done
  rm -rf "$folder"
}
trap finish EXIT
timeout -k 2 110 "$stage" "$scenario" "$folder" "$case_folder/record.txt" &
stage_pid=$!
pids+=("$stage_pid")
for _ in $(seq 100); do
  [ -e "$folder/started" ] && break
  sleep 0.1
done
[ -e "$folder/started" ] || exit 2
instances=()
declare -A pid_of
start_instance() {
  EGRETTURN_CONFIG="$folder/$1.toml" "$program" >>"$folder/$1.log" 2>&1 &
  pid_of[$1]=$!
  instances+=("$!")
  pids+=("$!")
}
start_instances() {
  instances=()
  for settings in "$folder"/*.toml; do
    start_instance "$(basename "$settings" .toml)"
  done
}
restart_instance() {
  kill -KILL "${pid_of[$1]}"
  wait "${pid_of[$1]}" 2>/dev/null
  sleep 0.5 # "restarted after a short delay"
  start_instance "$1"
}
start_others() {
  for settings in "$folder"/*.toml; do
    name=$(basename "$settings" .toml)
    grep -qx "$name" "$folder/first" || start_instance "$name"
  done
}
if [ -e "$folder/first" ]; then
  while read -r name; do start_instance "$name"; done <"$folder/first"
else
  start_instances
fi
while kill -0 "$stage_pid" 2>/dev/null; do
  if [ -e "$folder/order" ]; then
    order=$(cat "$folder/order")
    case $order in
      kill) for pid in "${instances[@]}"; do kill -KILL "$pid"; wait "$pid" 2>/dev/null; done ;;
      start) start_instances ;;
      start-others) start_others ;;
      restart*) restart_instance "${order#restart }" ;;
    esac
    rm "$folder/order"
  fi
  sleep 0.05
done
wait "$stage_pid"
code=$?
[ -n "${KEEP_LOGS:-}" ] && cp "$folder"/*.log "$KEEP_LOGS"
case $code in 0 | 1) exit "$code" ;; *) exit 2 ;; esac
