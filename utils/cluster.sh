# Functions that start and stop stand-ins and daemons on loopback. To be sourced.
# Requires the variables bin (folder of the programs), work (folder for settings and logs) and config
# (configuration file whose workers listen on 127.0.0.1:183xx; these ports are replaced by ports
# reserved for this run).

# Reserves a block of 1,000 ports until this shell and its child processes have exited, so that
# concurrent runs don't use the same ports. Sets port_base.
reserve_ports() {
  local base
  for base in $(seq 18000 1000 28000); do
    exec 9>"${TMPDIR:-/tmp}/egretturn-ports-$base.lock"
    if flock -n 9; then
      port_base=$base
      return 0
    fi
  done
  echo "no block of ports is free; stop another run of the tests or of the demonstration" >&2
  return 1
}
reserve_ports
platform="127.0.0.1:$port_base"
worker_ports=$(seq $((port_base + 300)) $((port_base + 311)))
sed "s/127\.0\.0\.1:183\([0-9][0-9]\)/127.0.0.1:$((port_base / 100 + 3))\1/g" "$config" >"$work/site.toml"
config=$work/site.toml
declare -A instance_pid=()
declare -A instance_address=()
standin_pids=()

# One instance per line: id, zone and region.
instances="hobart-a-1 hobart-a tas-south
hobart-a-2 hobart-a tas-south
kingston-b-1 kingston-b tas-south
kingston-b-2 kingston-b tas-south
launceston-a-1 launceston-a tas-north
launceston-a-2 launceston-a tas-north"

write_settings() {
  local number=0 id zone region other
  while read -r id zone region; do
    number=$((number + 1))
    instance_address[$id]="127.0.0.1:$((port_base + 99 + number))"
  done <<<"$instances"
  while read -r id zone region; do
    {
      echo "id = \"$id\""
      echo "zone = \"$zone\""
      echo "region = \"$region\""
      echo "listen = \"${instance_address[$id]}\""
      echo "peer_listen = \"${instance_address[$id]/:$port_prefix/:$peer_prefix}\""
      echo "log_address = \"$platform\""
      echo "list_address = \"$platform\""
      echo "log_level = \"${log_level:-info}\""
      while read -r other other_zone other_region; do
        [ "$other" = "$id" ] && continue
        echo "[[peers]]"
        echo "id = \"$other\""
        echo "zone = \"$other_zone\""
        echo "region = \"$other_region\""
        echo "address = \"${instance_address[$other]/:$port_prefix/:$peer_prefix}\""
        echo "http_address = \"${instance_address[$other]}\""
      done <<<"$instances"
    } >"$work/$id.toml"
  done <<<"$instances"
}

# The ports for callers have one prefix, those for peers the next.
port_prefix=$(((port_base + 100) / 100))
peer_prefix=$(((port_base + 200) / 100))

start_standins() {
  "$bin/egretturn-standin" platform --listen="$platform" >"$work/platform.log" 2>&1 &
  standin_pids+=($!)
  "$bin/egretturn-standin" workers --config="$config" "$@" >"$work/workers.log" 2>&1 &
  standin_pids+=($!)
}

start_instance() {
  "$bin/egretturnd" --settings="$work/$1.toml" >>"$work/$1.log" 2>&1 &
  instance_pid[$1]=$!
}

start_instances() {
  local id zone region
  while read -r id zone region; do
    start_instance "$id"
  done <<<"$instances"
}

stop_all() {
  local pid
  for pid in "${instance_pid[@]}"; do kill -CONT "$pid" 2>/dev/null || true; done
  for pid in "${instance_pid[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${instance_pid[@]}"; do wait "$pid" 2>/dev/null || true; done
  for pid in "${standin_pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${standin_pids[@]}"; do wait "$pid" 2>/dev/null || true; done
}

# wait_until SECONDS COMMAND...: repeats the command until it succeeds or the time has passed.
wait_until() {
  local tries=$(($1 * 5))
  shift
  while [ "$tries" -gt 0 ]; do
    if "$@" >/dev/null 2>&1; then return 0; fi
    tries=$((tries - 1))
    sleep 0.2
  done
  return 1
}

is_ready() { [ "$(curl -s -o /dev/null -w '%{http_code}' "http://$1/readyz")" = 200 ]; }
all_ready() {
  local id
  for id in "${!instance_address[@]}"; do is_ready "${instance_address[$id]}" || return 1; done
}
serves() { [ "$(curl -s -o /dev/null -w '%{http_code}' -X POST "http://$1/v1/services/retrofit-desk/quote" -d '{}')" = 200 ]; }
all_serve() {
  local id
  for id in "${!instance_address[@]}"; do serves "${instance_address[$id]}" || return 1; done
}
