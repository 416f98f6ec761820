# Shell functions that write settings for a fleet on loopback ports and start and stop its processes
# by process id. Source this file in bash, set the variables below as needed, then call
#   fleet_write_settings; fleet_start; fleet_wait_ready; ...; fleet_stop
# and `trap fleet_stop EXIT` before the first start.
#
# Each region has two failure domains, <region>-a and <region>-b. Entries and targets are spread over
# the domains in turn. Processes are named config, entry-<n> and target-<n>, counting from 1.
# Every service <s> has two routes for the customer press.line: GET /<s> (repeatable) and POST /<s>
# (not repeatable, needs an idempotency key).

# shellcheck disable=SC2034  # variables are set here and used by scripts that source this file
FLEET_BUILD=${FLEET_BUILD:-build}
FLEET_ENTRIES=${FLEET_ENTRIES:-3}
FLEET_TARGETS_PER_DOMAIN=${FLEET_TARGETS_PER_DOMAIN:-3}
FLEET_REGIONS=${FLEET_REGIONS:-1}
# Ports: base = configuration service, +100 entries, +200 their peer ports, +300 their
# operator ports, +400 targets.
FLEET_BASE_PORT=${FLEET_BASE_PORT:-18000}
FLEET_SERVICES=${FLEET_SERVICES:-status}
# Further arguments of every stand-in target, for example "--service-ms 5".
FLEET_TARGET_ARGUMENTS=${FLEET_TARGET_ARGUMENTS:-}
FLEET_SECRET=${FLEET_SECRET:-demo-secret}
FLEET_CREDENTIAL=press.line.$FLEET_SECRET
# A stop waits this many tenths of a second before SIGKILL; the longest deadline of the settings is 2 s.
FLEET_STOP_TENTHS=${FLEET_STOP_TENTHS:-50}

FLEET_DIRECTORY=
declare -A FLEET_PIDS=()

fleet_region_name() { # NUMBER
  local names=(north south east west centre)
  echo "${names[$(($1 - 1))]:-region-$1}"
}

fleet_domain_count() { echo $((2 * FLEET_REGIONS)); }

# Domain of the entry or target with this number: domain numbers rise in turn, so that neighbours are
# in different domains and, with several regions, every region gets its share.
fleet_domain_of() { # NUMBER
  local index=$((($1 - 1) % $(fleet_domain_count)))
  local letter=a
  [ $((index / FLEET_REGIONS)) = 0 ] || letter=b
  echo "$(fleet_region_name $((index % FLEET_REGIONS + 1)))-$letter"
}

fleet_target_count() { echo $((FLEET_TARGETS_PER_DOMAIN * $(fleet_domain_count))); }

fleet_service_of() { # TARGET_NUMBER
  local services=($FLEET_SERVICES)
  echo "${services[$((($1 - 1) / $(fleet_domain_count) % ${#services[@]}))]}"
}

fleet_port() { # config | entry | peer | admin | target  [NUMBER]
  local offset=0
  case $1 in entry) offset=100 ;; peer) offset=200 ;; admin) offset=300 ;; target) offset=400 ;; esac
  echo $((FLEET_BASE_PORT + offset + ${2:-0}))
}

fleet_entry_address() { echo "127.0.0.1:$(fleet_port entry "$1")"; }

# --- settings ---

fleet_write_platform() {
  local r service
  for ((r = 1; r <= FLEET_REGIONS; ++r)); do
    printf '[[region]]\nname = "%s"\n' "$(fleet_region_name "$r")"
    printf '[[failure_domain]]\nname = "%s-a"\nregion = "%s"\n' "$(fleet_region_name "$r")" "$(fleet_region_name "$r")"
    printf '[[failure_domain]]\nname = "%s-b"\nregion = "%s"\n' "$(fleet_region_name "$r")" "$(fleet_region_name "$r")"
  done
  for service in $FLEET_SERVICES; do
    printf '[[service]]\nname = "%s"\nshed_is_not_run = true\n' "$service"
  done
}

fleet_write_team() {
  local service hash
  hash=$(printf '%s' "$FLEET_SECRET" | sha256sum | cut -d' ' -f1)
  printf '[[customer]]\nname = "line"\nkey_sha256 = ["%s"]\nmax_in_flight = 10000\n' "$hash"
  for service in $FLEET_SERVICES; do
    printf '[[route]]\nname = "%s-read"\ncustomer = "line"\npath_prefix = "/%s"\nservice = "%s"\nrepeatable = true\n' \
      "$service" "$service" "$service"
    printf '[[route]]\nname = "%s-write"\ncustomer = "line"\npath_prefix = "/%s"\nmethods = ["POST"]\nservice = "%s"\n' \
      "$service" "$service" "$service"
  done
}

fleet_write_vm_list() {
  local n separator=
  printf '{"revision": 1, "vms": ['
  for ((n = 1; n <= FLEET_ENTRIES; ++n)); do
    printf '%s{"name":"entry-%d","address":"127.0.0.1","port":%d,"peer_port":%d,"failure_domain":"%s","role":"entry"}' \
      "$separator" "$n" "$(fleet_port entry "$n")" "$(fleet_port peer "$n")" "$(fleet_domain_of "$n")"
    separator=,
  done
  for ((n = 1; n <= $(fleet_target_count); ++n)); do
    printf '%s{"name":"target-%d","address":"127.0.0.1","port":%d,"failure_domain":"%s","role":"target","service":"%s"}' \
      "$separator" "$n" "$(fleet_port target "$n")" "$(fleet_domain_of "$n")" "$(fleet_service_of "$n")"
    separator=,
  done
  printf ']}\n'
}

fleet_write_entry() { # NUMBER
  local domain
  domain=$(fleet_domain_of "$1")
  cat <<TOML
vm = "entry-$1"
region = "${domain%-?}"
failure_domain = "$domain"
[listen]
port = $(fleet_port entry "$1")
peer_port = $(fleet_port peer "$1")
admin_port = $(fleet_port admin "$1")
[platform]
configuration_service = "http://127.0.0.1:$(fleet_port config)"
vm_list = "http://127.0.0.1:$(fleet_port config)"
[fleet]
key_file = "$FLEET_DIRECTORY/key"
TOML
}

# Writes all settings below a new temporary directory, FLEET_DIRECTORY.
fleet_write_settings() {
  local n
  if ((FLEET_ENTRIES > 99)); then
    echo "fleet: at most 99 entries fit the port ranges" >&2
    return 1
  fi
  FLEET_DIRECTORY=$(mktemp -d)
  mkdir -p "$FLEET_DIRECTORY/settings/teams"
  fleet_write_platform > "$FLEET_DIRECTORY/settings/platform.toml"
  fleet_write_team > "$FLEET_DIRECTORY/settings/teams/press.toml"
  fleet_write_vm_list > "$FLEET_DIRECTORY/settings/vms.json"
  printf 'demo-fleet-key-0123456789abcdef' > "$FLEET_DIRECTORY/key"
  for ((n = 1; n <= FLEET_ENTRIES; ++n)); do
    fleet_write_entry "$n" > "$FLEET_DIRECTORY/entry-$n.toml"
  done
}

# --- processes ---

fleet_start_process() { # NAME COMMAND...
  local name=$1
  shift
  "$@" > "$FLEET_DIRECTORY/$name.log" 2>&1 &
  FLEET_PIDS[$name]=$!
}

fleet_start_config() {
  fleet_start_process config "$FLEET_BUILD/src/standins/standin-configservice" \
    --port "$(fleet_port config)" --directory "$FLEET_DIRECTORY/settings"
}

fleet_start_target() { # NUMBER [ARGUMENTS...]
  local n=$1
  shift
  # shellcheck disable=SC2086  # the arguments are a list of words
  fleet_start_process "target-$n" "$FLEET_BUILD/src/standins/standin-target" \
    --port "$(fleet_port target "$n")" --seed "$n" $FLEET_TARGET_ARGUMENTS "$@"
}

fleet_start_entry() { # NUMBER
  fleet_start_process "entry-$1" "$FLEET_BUILD/src/anvilsaddled/anvilsaddled" \
    --settings "$FLEET_DIRECTORY/entry-$1.toml"
}

fleet_start() {
  local n
  fleet_start_config
  for ((n = 1; n <= $(fleet_target_count); ++n)); do fleet_start_target "$n"; done
  for ((n = 1; n <= FLEET_ENTRIES; ++n)); do fleet_start_entry "$n"; done
}

fleet_pid() { echo "${FLEET_PIDS[$1]}"; } # NAME

fleet_signal() { # NAME SIGNAL
  kill -"$2" "${FLEET_PIDS[$1]}"
}

# Waits for a process that was told to end; SIGKILL if it does not. Returns its exit status.
fleet_reap() { # NAME
  local pid=${FLEET_PIDS[$1]} tenths=0 status=0
  while kill -0 "$pid" 2>/dev/null && ((tenths++ < FLEET_STOP_TENTHS)); do sleep 0.1; done
  kill -KILL "$pid" 2>/dev/null || true
  wait "$pid" 2>/dev/null || status=$?
  unset "FLEET_PIDS[$1]"
  return "$status"
}

fleet_stop_process() { # NAME [SIGNAL]
  fleet_signal "$1" "${2:-TERM}" 2>/dev/null || true
  fleet_reap "$1"
}

# Stops all processes that are still running and removes the settings. Safe to call again.
fleet_stop() {
  local name
  trap '' INT TERM
  # A process that was paused by SIGSTOP must run to handle SIGTERM. Entries stop first, so that they
  # can finish requests in flight.
  for name in "${!FLEET_PIDS[@]}"; do fleet_signal "$name" CONT 2>/dev/null || true; done
  for name in "${!FLEET_PIDS[@]}"; do [[ $name != entry-* ]] || fleet_signal "$name" TERM 2>/dev/null || true; done
  for name in "${!FLEET_PIDS[@]}"; do [[ $name != entry-* ]] || fleet_reap "$name" || true; done
  for name in "${!FLEET_PIDS[@]}"; do fleet_signal "$name" TERM 2>/dev/null || true; done
  for name in "${!FLEET_PIDS[@]}"; do fleet_reap "$name" || true; done
  [ -z "$FLEET_DIRECTORY" ] || rm -rf "$FLEET_DIRECTORY"
  FLEET_DIRECTORY=
  trap - INT TERM
}

# Installs the traps that stop the fleet at the end of the script, also on Ctrl-C and SIGTERM.
fleet_trap_exit() {
  trap fleet_stop EXIT
  trap 'exit 130' INT
  trap 'exit 143' TERM
}

# --- observation ---

fleet_entries_answer() { # ENTRY_NUMBER
  curl -s --max-time 2 -H "Authorization: Bearer $FLEET_CREDENTIAL" "http://$(fleet_entry_address "$1")/v1/entries"
}

# Waits until every running entry serves a read through a target, at most 15 s.
fleet_wait_ready() {
  local n tries=0 status service=${FLEET_SERVICES%% *}
  for ((n = 1; n <= FLEET_ENTRIES; ++n)); do
    [ -n "${FLEET_PIDS[entry-$n]:-}" ] || continue
    while
      status=$(curl -s --max-time 2 -o /dev/null -w '%{http_code}' -H "Authorization: Bearer $FLEET_CREDENTIAL" \
        "http://$(fleet_entry_address "$n")/$service/ready") || true
      [ "$status" != 200 ]
    do
      if ((tries++ >= 150)); then
        echo "fleet: entry-$n does not serve: status $status" >&2
        tail -n 5 "$FLEET_DIRECTORY/entry-$n.log" >&2
        return 1
      fi
      sleep 0.1
    done
  done
}

# Prints processor time in milliseconds and resident memory in KB of a process.
fleet_usage() { # NAME
  local pid=${FLEET_PIDS[$1]} fields ticks
  read -r -a fields < <(sed 's/.*) //' "/proc/$pid/stat")
  ticks=$((fields[11] + fields[12]))
  echo "$((ticks * 1000 / $(getconf CLK_TCK))) $(awk '/^VmRSS/ {print $2}' "/proc/$pid/status")"
}

fleet_target_counts() { # NUMBER
  curl -s --max-time 2 "http://127.0.0.1:$(fleet_port target "$1")/standin/counts"
}

fleet_count_field() { # JSON FIELD
  sed -n 's/.*"'"$2"'":\([0-9]*\).*/\1/p' <<< "$1"
}

# Prints one line for each target: runs, shed requests, most requests at once, most runs of a key.
fleet_print_targets() {
  local n counts
  printf '%-10s %-12s %-10s %8s %6s %13s %14s\n' target domain service runs shed most-at-once most-of-a-key
  for ((n = 1; n <= $(fleet_target_count); ++n)); do
    counts=$(fleet_target_counts "$n")
    printf '%-10s %-12s %-10s %8s %6s %13s %14s\n' "target-$n" "$(fleet_domain_of "$n")" \
      "$(fleet_service_of "$n")" "$(fleet_count_field "$counts" runs)" "$(fleet_count_field "$counts" shed)" \
      "$(fleet_count_field "$counts" most_running)" "$(fleet_count_field "$counts" most_runs_of_a_key)"
  done
}
