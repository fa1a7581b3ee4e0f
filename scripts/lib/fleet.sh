# Functions that run the stand-ins and instances of one deployment on loopback.
# The scripts demo, chaos and measure-node source this file. It ends only
# processes that it started, by their ids.

host=127.0.0.1
instances=8
answer_lifetime_ms=1000
control_port=28001
config_port=28002
list_port=28003
http_base=28100
peer_base=28200
list_lag_ms=1000
declare -A pids=()
declare -A list_states=()

now_ms() { date +%s%3N; }
log() { printf '%s\n' "$*" >&2; }

# Finds the programs and creates the working folder. Builds first unless a build
# folder is given. Usage: set_up_fleet [--build FOLDER]
set_up_fleet() {
  if [ "${1:-}" = --build ]; then
    build_folder=${2:?folder}
  else
    build_folder=$(scripts/build | tail -n 1)
  fi
  build_folder=$(cd "$build_folder" && pwd)
  client_program=$build_folder/apps/turmericlane
  daemon_program=$build_folder/apps/turmericlaned
  standins_program=$build_folder/tests/standins/turmericlane_standins
  load_program=$build_folder/bench/turmericlane_load
  for it in "$client_program" "$daemon_program" "$standins_program" \
    "$load_program"; do
    [ -x "$it" ] || { log "missing program: $it"; exit 2; }
  done
  work_folder=$(mktemp -d)
  trap clean_up EXIT
  trap 'exit 130' INT TERM
}

# Starts a program in the background. Usage: start_process NAME COMMAND...
start_process() {
  local name=$1
  shift
  "$@" >>"$work_folder/$name.log" 2>&1 &
  pids[$name]=$!
}

# True if the process runs and is no zombie. Usage: is_running NAME
is_running() {
  local state
  state=$(ps -o stat= -p "${pids[$1]:-0}" 2>/dev/null) || return 1
  [[ -n $state && $state != Z* ]]
}

# Sends a process a signal, by default TERM, and kills it if it still runs after
# 10 s. Leaves its exit code in exit_code. Usage: stop_process NAME [SIGNAL]
stop_process() {
  local name=$1 wait_count=0
  exit_code=0
  [ -n "${pids[$name]:-}" ] || return 0
  kill -s "${2:-TERM}" "${pids[$name]}" 2>/dev/null || true
  while is_running "$name" && [ $wait_count -lt 100 ]; do
    sleep 0.1
    wait_count=$((wait_count + 1))
  done
  is_running "$name" && kill -s KILL "${pids[$name]}" 2>/dev/null
  wait "${pids[$name]}" 2>/dev/null || exit_code=$?
  unset "pids[$name]"
}

# Stops all processes. All get the signal first, so that they end at the same
# time.
stop_all_processes() {
  local it
  for it in "${!pids[@]}"; do
    kill -s CONT "${pids[$it]}" 2>/dev/null || true
    kill -s TERM "${pids[$it]}" 2>/dev/null || true
  done
  for it in "${!pids[@]}"; do stop_process "$it"; done
}

clean_up() {
  local code=$?
  trap - EXIT
  stop_all_processes
  if [ $code -eq 0 ]; then
    rm -rf "$work_folder"
  else
    log "logs: $work_folder"
  fi
  exit $code
}

# Sends an HTTP request on loopback and prints the body of the response.
# Usage: http_request METHOD PORT PATH [BODY]
http_request() {
  curl -sS --fail --max-time 5 -X "$1" ${4+--data-binary "$4"} \
    "http://$host:$2$3"
}

backend_control() {
  http_request POST $control_port /control/set "$1" >/dev/null
}
backend_counters() { http_request GET $control_port /control/counters; }
set_config_mode() {
  http_request PUT $config_port /control/mode "$1" >/dev/null
}

# Repeats a command until it succeeds, or fails after the timeout.
# Usage: wait_for SECONDS DESCRIPTION COMMAND...
wait_for() {
  local deadline_ms=$(($(now_ms) + $1 * 1000)) description=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$(now_ms)" -ge $deadline_ms ]; then
      log "timed out: $description"
      return 1
    fi
    sleep 0.1
  done
}

# Signs and publishes a bundle. Usage: publish_bundle FILE
publish_bundle() {
  "$client_program" bundle sign --signing-key-file="$work_folder/operator.key" \
    --output="$work_folder/envelope.json" "$1" >/dev/null
  http_request PUT $config_port /control/bundle \
    "@$work_folder/envelope.json" >/dev/null
}

# Starts the stand-ins with a bundle, makes the keys and publishes the bundle.
# Usage: start_standins FILE SEED
start_standins() {
  start_process backends "$standins_program" backends --bundle "$1" \
    --control-port $control_port --seed "$2"
  start_process config "$standins_program" config --port $config_port
  start_process list "$standins_program" list --port $list_port \
    --lag-ms $list_lag_ms
  wait_for 10 "stand-ins" eval \
    'backend_counters && http_request GET $config_port /control/reads &&
     http_request GET $list_port /v1/instances'
  rm -f "$work_folder/operator.key" "$work_folder/operator.key.pub"
  "$client_program" bundle keygen "$work_folder/operator.key" >/dev/null
  (umask 077; od -An -v -tx1 -N32 /dev/urandom |
     tr -d ' \n' >"$work_folder/peer.key"
   echo >>"$work_folder/peer.key")
  mapfile -t data_centres < <(jq -r \
    '[.services[].groups[].searchers[].data_centre] | unique[]' "$1")
  publish_bundle "$1"
}

get_data_centre() { echo "${data_centres[$(($1 % ${#data_centres[@]}))]}"; }

# Starts an instance. Usage: start_instance ORDINAL
start_instance() {
  mkdir -p "$work_folder/instance$1"
  start_process "instance$1" "$daemon_program" --address $host \
    --http-port $((http_base + $1)) --peer-port $((peer_base + $1)) \
    --data-centre "$(get_data_centre "$1")" --ordinal "$1" \
    --config-service $host:$config_port --instance-list $host:$list_port \
    --trusted-key "$work_folder/operator.key.pub" \
    --peer-key-file "$work_folder/peer.key" \
    --log-dir "$work_folder/instance$1" --answer-lifetime-ms $answer_lifetime_ms
  list_states[$1]=live
}

# Writes the instances in list_states to the instance list of the platform.
update_instance_list() {
  local n entries=
  for n in "${!list_states[@]}"; do
    entries+="{\"address\":\"$host\",\"peer_port\":$((peer_base + n)),"
    entries+="\"http_port\":$((http_base + n)),"
    entries+="\"data_centre\":\"$(get_data_centre "$n")\",\"ordinal\":$n,"
    entries+="\"state\":\"${list_states[$n]}\"},"
  done
  http_request PUT $list_port /control/instances "[${entries%,}]" >/dev/null
}

# Prints the version in force at an instance, or 0 if it does not answer.
# Usage: get_version ORDINAL
get_version() {
  curl -s --max-time 1 "http://$host:$((http_base + $1))/v1/status" |
    jq -r '.version // 0' 2>/dev/null || echo 0
}

serves_version() { [ "$(get_version "$1")" -ge "$2" ]; }
is_serving() {
  curl -s --max-time 1 "http://$host:$((http_base + $1))/v1/status" |
    jq -e '.serving == true' >/dev/null
}

# True if the instance sees all others as live. Usage: sees_all_members ORDINAL
sees_all_members() {
  curl -s --max-time 1 "http://$host:$((http_base + $1))/v1/status" |
    jq -e "[.members[]? | select(.state == \"live\")] |
      length >= $instances - 1" >/dev/null
}

# Starts all instances, waits until each serves and then up to 10 s for each to
# see the others as live, so that the figures exclude the start of the fleet.
start_instances() {
  local n
  for ((n = 0; n < instances; ++n)); do start_instance "$n"; done
  update_instance_list
  for ((n = 0; n < instances; ++n)); do
    wait_for 20 "instance $n serves" is_serving "$n"
  done
  for ((n = 0; n < instances; ++n)); do
    wait_for 10 "instance $n sees all others" sees_all_members "$n" || break
  done
}

# Waits until a version is in force at all given instances, and runs a command
# once it is at the first. Leaves the times from the call to the first and the
# last instance in first_ms and all_ms; 999999 stands for over 10 s.
# Usage: wait_for_version VERSION FIRST_CALLBACK ORDINAL...
wait_for_version() {
  local version=$1 first_callback=$2 start_ms n
  shift 2
  local -A pending_instances=()
  for n in "$@"; do pending_instances[$n]=1; done
  start_ms=$(now_ms)
  first_ms= all_ms=999999
  while [ $(($(now_ms) - start_ms)) -lt 10000 ]; do
    for n in "${!pending_instances[@]}"; do
      serves_version "$n" "$version" || continue
      unset "pending_instances[$n]"
      if [ -z "$first_ms" ]; then
        first_ms=$(($(now_ms) - start_ms))
        $first_callback
      fi
    done
    if [ ${#pending_instances[@]} -eq 0 ]; then
      all_ms=$(($(now_ms) - start_ms))
      return 0
    fi
    sleep 0.05
  done
  first_ms=${first_ms:-999999}
}

# Writes a line to a file whenever a process of an instance reports a lower
# version than before; a new process is recognised by its nonce. Runs until it
# is stopped. Usage: monitor_versions FILE
monitor_versions() {
  local n status process_key
  local -A last_versions=()
  : >"$1"
  while :; do
    for ((n = 0; n < instances; ++n)); do
      status=$(curl -s --max-time 0.3 \
        "http://$host:$((http_base + n))/v1/status" |
        jq -r '"\(.nonce) \(.version)"' 2>/dev/null) || continue
      [[ $status =~ ^[0-9]+\ [0-9]+$ ]] || continue
      process_key=$n-${status% *}
      status=${status#* }
      if [ "$status" -lt "${last_versions[$process_key]:-0}" ]; then
        echo "instance $process_key:" \
          "${last_versions[$process_key]} to $status" >>"$1"
      fi
      last_versions[$process_key]=$status
    done
    sleep 0.25
  done
}

# Shuts an instance down gracefully as the platform does: marks it as leaving in
# the instance list, ends the process and removes it from the list. Leaves the
# time that this took in shutdown_ms. Usage: shut_down_instance ORDINAL
shut_down_instance() {
  local start_ms
  start_ms=$(now_ms)
  list_states[$1]=leaving
  update_instance_list
  stop_process "instance$1"
  shutdown_ms=$(($(now_ms) - start_ms))
  unset "list_states[$1]"
  update_instance_list
}

# Prints the HTTP addresses of all instances, separated by commas.
list_addresses() {
  local n addresses=
  for ((n = 0; n < instances; ++n)); do
    addresses+=$host:$((http_base + n)),
  done
  echo "${addresses%,}"
}

# Prints whether a promise was kept, and counts it if it was violated.
# Usage: check_promise NUMBER TEXT FIGURE CONDITION (an arithmetic expression)
violation_count=0
check_promise() {
  local outcome=ok
  if ! (($4)); then
    outcome=violated
    violation_count=$((violation_count + 1))
  fi
  printf '%-2s %-52s %-8s %s\n' "$1" "$2" "$outcome" "$3"
}
