# Functions that scripts/demo and scripts/chaos share: start and stop the
# stand-ins and the instances of one deployment on loopback. Source it.
# It ends processes by the id that it started them with, and no others.

host=127.0.0.1
instances=8
lifetime_ms=1000
control_port=28001
config_port=28002
list_port=28003
http_base=28100
peer_base=28200
list_lag_ms=1000
declare -A pids=()
declare -A list_state=()

now_ms() { date +%s%3N; }
say() { printf '%s\n' "$*" >&2; }

# Usage: fleet_build [--build FOLDER]. A given folder is used as it is.
fleet_build() {
  if [ "${1:-}" = --build ]; then
    build=${2:?folder}
  else
    build=$(scripts/build | tail -n 1)
  fi
  build=$(cd "$build" && pwd)
  client=$build/apps/turmericlane
  daemon=$build/apps/turmericlaned
  standins=$build/tests/standins/turmericlane_standins
  load=$build/bench/turmericlane_load
  for it in "$client" "$daemon" "$standins" "$load"; do
    [ -x "$it" ] || { say "missing program: $it"; exit 2; }
  done
  work=$(mktemp -d)
  trap fleet_end EXIT
  trap 'exit 130' INT TERM
}

# Starts a program in the background. Usage: start NAME COMMAND...
start() {
  local name=$1
  shift
  "$@" >>"$work/$name.log" 2>&1 &
  pids[$name]=$!
}

# True while the process runs (a zombie does not).
running() {
  local state
  state=$(ps -o stat= -p "${pids[$1]:-0}" 2>/dev/null) || return 1
  [[ -n $state && $state != Z* ]]
}

# Ends a process with a signal and waits for it, 10 s at most, then kills it.
# Leaves its exit code in exit_code. Usage: stop NAME [SIGNAL]
stop() {
  local name=$1 waited=0
  exit_code=0
  [ -n "${pids[$name]:-}" ] || return 0
  kill -s "${2:-TERM}" "${pids[$name]}" 2>/dev/null || true
  while running "$name" && [ $waited -lt 100 ]; do
    sleep 0.1
    waited=$((waited + 1))
  done
  running "$name" && kill -s KILL "${pids[$name]}" 2>/dev/null
  wait "${pids[$name]}" 2>/dev/null || exit_code=$?
  unset "pids[$name]"
}

# Stops everything: first a signal to all, so that the waits overlap.
fleet_stop() {
  local it
  for it in "${!pids[@]}"; do
    kill -s CONT "${pids[$it]}" 2>/dev/null || true
    kill -s TERM "${pids[$it]}" 2>/dev/null || true
  done
  for it in "${!pids[@]}"; do stop "$it"; done
}

fleet_end() {
  local code=$?
  trap - EXIT
  fleet_stop
  if [ $code -eq 0 ]; then rm -rf "$work"; else say "logs: $work"; fi
  exit $code
}

# GET, PUT or POST on loopback. Usage: request METHOD PORT PATH [BODY]
request() {
  curl -sS --fail --max-time 5 -X "$1" ${4+--data-binary "$4"} \
    "http://$host:$2$3"
}

backend_control() { request POST $control_port /control/set "$1" >/dev/null; }
backend_counters() { request GET $control_port /control/counters; }
config_mode() { request PUT $config_port /control/mode "$1" >/dev/null; }

# Waits until a command succeeds. Usage: wait_for SECONDS WHAT COMMAND...
wait_for() {
  local end=$(($(now_ms) + $1 * 1000)) what=$2
  shift 2
  until "$@" >/dev/null 2>&1; do
    if [ "$(now_ms)" -ge $end ]; then say "timed out: $what"; return 1; fi
    sleep 0.1
  done
}

# Signs and publishes a bundle. Usage: publish FILE
publish() {
  "$client" bundle sign --signing-key-file="$work/operator.key" \
    --output="$work/envelope.json" "$1" >/dev/null
  request PUT $config_port /control/bundle "@$work/envelope.json" >/dev/null
}

# Starts the stand-ins with a bundle and publishes it.
# Usage: start_standins FILE SEED
start_standins() {
  start backends "$standins" backends --bundle "$1" \
    --control-port $control_port --seed "$2"
  start config "$standins" config --port $config_port
  start list "$standins" list --port $list_port --lag-ms $list_lag_ms
  wait_for 10 "stand-ins" eval \
    'backend_counters && request GET $config_port /control/reads &&
     request GET $list_port /v1/instances'
  rm -f "$work/operator.key" "$work/operator.key.pub"
  "$client" bundle keygen "$work/operator.key" >/dev/null
  (umask 077; od -An -v -tx1 -N32 /dev/urandom | tr -d ' \n' >"$work/peer.key"
   echo >>"$work/peer.key")
  mapfile -t data_centres < <(jq -r \
    '[.services[].groups[].searchers[].data_centre] | unique[]' "$1")
  publish "$1"
}

data_centre_of() { echo "${data_centres[$(($1 % ${#data_centres[@]}))]}"; }

# Starts the instance with that ordinal.
start_instance() {
  mkdir -p "$work/instance$1"
  start "instance$1" "$daemon" --address $host \
    --http-port $((http_base + $1)) --peer-port $((peer_base + $1)) \
    --data-centre "$(data_centre_of "$1")" --ordinal "$1" \
    --config-service $host:$config_port --instance-list $host:$list_port \
    --trusted-key "$work/operator.key.pub" \
    --peer-key-file "$work/peer.key" --log-dir "$work/instance$1" \
    --answer-lifetime-ms $lifetime_ms
  list_state[$1]=live
}

# Puts the instances that the script knows of into the platform's list.
put_list() {
  local n out=
  for n in "${!list_state[@]}"; do
    out+="{\"address\":\"$host\",\"peer_port\":$((peer_base + n)),"
    out+="\"http_port\":$((http_base + n)),"
    out+="\"data_centre\":\"$(data_centre_of "$n")\",\"ordinal\":$n,"
    out+="\"state\":\"${list_state[$n]}\"},"
  done
  request PUT $list_port /control/instances "[${out%,}]" >/dev/null
}

# Version in force at an instance; 0 if it does not answer.
version_of() {
  curl -s --max-time 1 "http://$host:$((http_base + $1))/v1/status" |
    jq -r '.version // 0' 2>/dev/null || echo 0
}

serves_version() { [ "$(version_of "$1")" -ge "$2" ]; }
accepts() {
  curl -s --max-time 1 "http://$host:$((http_base + $1))/v1/status" |
    jq -e '.serving == true' >/dev/null
}

# True if the instance sees all others as live.
sees_all() {
  curl -s --max-time 1 "http://$host:$((http_base + $1))/v1/status" |
    jq -e "[.members[]? | select(.state == \"live\")] | length >= $instances - 1" \
      >/dev/null
}

# Starts all instances and waits until they serve and, if they do within 10 s,
# see each other, so that the figures are not those of a fleet that starts.
start_instances() {
  local n
  for ((n = 0; n < instances; ++n)); do start_instance "$n"; done
  put_list
  for ((n = 0; n < instances; ++n)); do
    wait_for 20 "instance $n serves" accepts "$n"
  done
  for ((n = 0; n < instances; ++n)); do
    wait_for 10 "instance $n sees all others" sees_all "$n" || break
  done
}

# Waits until a version is in force at all given instances. Leaves the time in
# first_ms and all_ms, from the call; all_ms is 999999 if it took over 10 s.
# Usage: watch_version VERSION ON_FIRST ORDINAL...
watch_version() {
  local version=$1 on_first=$2 start_ms n
  shift 2
  local -A missing=()
  for n in "$@"; do missing[$n]=1; done
  start_ms=$(now_ms)
  first_ms= all_ms=999999
  while [ $(($(now_ms) - start_ms)) -lt 10000 ]; do
    for n in "${!missing[@]}"; do
      serves_version "$n" "$version" || continue
      unset "missing[$n]"
      if [ -z "$first_ms" ]; then
        first_ms=$(($(now_ms) - start_ms))
        $on_first
      fi
    done
    if [ ${#missing[@]} -eq 0 ]; then
      all_ms=$(($(now_ms) - start_ms))
      return 0
    fi
    sleep 0.05
  done
  first_ms=${first_ms:-999999}
}

# Writes a line to a file whenever a running process of an instance states a
# lower version than before; runs until it is ended. A new process is told by
# its nonce. Usage: monitor_versions FILE
monitor_versions() {
  local n status key
  local -A last=()
  : >"$1"
  while :; do
    for ((n = 0; n < instances; ++n)); do
      status=$(curl -s --max-time 0.3 \
        "http://$host:$((http_base + n))/v1/status" |
        jq -r '"\(.nonce) \(.version)"' 2>/dev/null) || continue
      [[ $status =~ ^[0-9]+\ [0-9]+$ ]] || continue
      key=$n-${status% *}
      status=${status#* }
      if [ "$status" -lt "${last[$key]:-0}" ]; then
        echo "instance $key: ${last[$key]} to $status" >>"$1"
      fi
      last[$key]=$status
    done
    sleep 0.25
  done
}

# Ends an instance gracefully, as the platform does: its entry becomes leaving,
# and it is removed when the process has ended. Leaves the time in leave_ms.
leave_instance() {
  local begin
  begin=$(now_ms)
  list_state[$1]=leaving
  put_list
  stop "instance$1"
  leave_ms=$(($(now_ms) - begin))
  unset "list_state[$1]"
  put_list
}

all_addresses() {
  local n out=
  for ((n = 0; n < instances; ++n)); do
    out+=$host:$((http_base + n)),
  done
  echo "${out%,}"
}

# Prints one line of the judgement and counts it.
# Usage: promise NUMBER TEXT FIGURE CONDITION (an arithmetic expression)
broken=0
promise() {
  local word=ok
  if ! (($4)); then
    word=violated
    broken=$((broken + 1))
  fi
  printf '%-2s %-52s %-8s %s\n' "$1" "$2" "$word" "$3"
}
