# shellcheck shell=bash disable=SC2154,SC2034
# Starts and ends the programs of a deployment; sourced by scripts in Meta.
# Needs $build, $base, $limit and $service.

directory=$(mktemp -d)
declare -A pids=()

# stop_group PATTERN: ends the processes whose names match, by their ids.
stop_group() {
  local name until=$((SECONDS + 15)) names=()
  for name in "${!pids[@]}"; do
    # shellcheck disable=SC2053 # The right side is a pattern.
    if [[ $name == $1 ]]; then
      names+=("$name")
      kill -TERM "${pids[$name]}" 2>/dev/null || true
    fi
  done
  for name in "${names[@]}"; do
    while kill -0 "${pids[$name]}" 2>/dev/null && ((SECONDS < until)); do
      sleep 0.1
    done
    kill -KILL "${pids[$name]}" 2>/dev/null || true
    wait "${pids[$name]}" 2>/dev/null || true
    unset "pids[$name]"
  done
}

# Ends every process that this script started. The daemons come first, because
# they hand over their shards through the platform.
stop_all() {
  trap '' INT TERM
  stop_group 'scheduler-*'
  stop_group 'gateway-*'
  stop_group '*'
  rm -rf "$directory"
}
trap stop_all EXIT
trap 'exit 130' INT
trap 'exit 143' TERM

fail() {
  echo "$(basename "$0"): $1" >&2
  tail -n 5 "$directory"/*.err >&2 || true
  exit 1
}

# program NAME: path of a built program.
program() {
  local path
  path=$(awk -v name="$1" '$1 == name { print $2 }' "$build/programs.txt")
  [ -n "$path" ] || fail "$1 is not part of the build"
  echo "$path"
}

# start NAME PROGRAM ARGUMENT...
start() {
  local name=$1 path
  path=$(program "$2")
  shift 2
  "$path" "$@" >"$directory/$name.out" 2>"$directory/$name.err" &
  pids[$name]=$!
}

# wait_until WHAT COMMAND...: repeats the command until it succeeds.
wait_until() {
  local what=$1 until=$((SECONDS + limit))
  shift
  until "$@" >/dev/null 2>&1; do
    ((SECONDS < until)) || fail "gave up waiting until $what"
    sleep 0.2
  done
}

# field FILE NAME: a text field of a settings file.
field() {
  sed -n 's/.*"'"$2"'": *"\([^"]*\)".*/\1/p' "$1" | sed -n 1p
}

# rpc ADDRESS METHOD PARAMETERS: prints the answer.
rpc() {
  curl -sf --max-time 10 "http://$1/rpc" -H 'Content-Type: application/json' \
    -d "{\"jsonrpc\":\"2.0\",\"id\":1,\"method\":\"$2\",\"params\":$3}"
}

# number NAME: the first number of that name in the JSON on standard input.
number() {
  grep -o "\"$1\":[0-9]*" | sed -n 1p | cut -d: -f2
}

# address_of KIND: address of the first host of a kind.
address_of() {
  grep "\"kind\": *\"$1\"" "$base/hosts.json" | sed -n 1p |
    sed 's/.*"address": *"\([^"]*\)".*/\1/'
}

healthy() {
  curl -sf --max-time 2 "http://$1/savorypaddle/health"
}

# serves ADDRESS: whether a gateway answers a read of the service.
serves() {
  curl -sf --max-time 5 "http://$1/$service$read"
}

# choose_service DEPLOYMENT: sets the service and the paths of its routes.
choose_service() {
  case "$1" in
    cooperativa)
      service=press-desk order=/book read=/calendar watch=/tanks/watch ;;
    madhurya)
      service=honey-orders order=/order read=/stock watch=/lots/watch ;;
    *) fail "no deployment is named $1" ;;
  esac
}

# apply_documents: accepts the places, then every service document.
apply_documents() {
  local command document
  command=$(program savorypaddle)
  "$command" apply "$base/places.jsonc" --why "$(basename "$0")" >/dev/null
  for document in "$base"/*.jsonc; do
    case "$(basename "$document")" in
      places.jsonc | gateway-* | scheduler-*) ;;
      *) "$command" apply "$document" --why "$(basename "$0")" >/dev/null ;;
    esac
  done
}
