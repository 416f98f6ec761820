#!/usr/bin/env bash
# Runs faults on real processes under load on loopback and prints a table of outcomes for each. Fails if a
# request that is not repeatable ran twice, if one that was refused as "not run" ran, if a planned stop did
# not end with status 0, or if a target in a domain taken out got new work after 3 s.
# Usage: fault-test.sh [BUILD_DIRECTORY] [CASE...]
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET_BUILD=${1:-build}
shift || true
FLEET_ENTRIES=4 FLEET_TARGETS_PER_DOMAIN=3 FLEET_REGIONS=1
FLEET_BASE_PORT=${FLEET_BASE_PORT:-25000}
source scripts/lib/fleet.sh
fleet_trap_exit

FAULT_RATE=${FAULT_RATE:-300}
failed=0

# The entry that owns the only group, as the operators' interface of any entry tells.
owner_of_group() {
  local n
  for ((n = 1; n <= FLEET_ENTRIES; ++n)); do
    if curl -s --max-time 2 "http://127.0.0.1:$(fleet_port admin "$n")/admin/status" | grep -q '"groups":\["status'; then
      echo "$n"
      return
    fi
  done
}

write_scenario() {
  cat > "$FLEET_DIRECTORY/mixed.toml" <<TOML
rate = $FAULT_RATE
count = $((FAULT_RATE * 8))
[[kind]]
name = "read"
path = "/status/1"
weight = 4
credential = "$FLEET_CREDENTIAL"
[[kind]]
name = "receipt"
method = "POST"
path = "/status/receipt"
weight = 1
credential = "$FLEET_CREDENTIAL"
key = true
body_bytes = 200
TOML
}

start_load() {
  timeout 25 "$FLEET_BUILD/src/loadtool/anvilsaddle-load" --vms "$FLEET_DIRECTORY/settings/vms.json" \
    --scenario "$FLEET_DIRECTORY/mixed.toml" --follow 3 --output "$FLEET_DIRECTORY/report.tsv" \
    > "$FLEET_DIRECTORY/report.txt" 2>&1 &
  load_pid=$!
}

end_load() { # CASE
  local status=0
  wait "$load_pid" || status=$?
  local row
  row=$(awk -F'\t' '$3 == "all" || $3 == "status" {next}
    {all += $5} $3 == 200 {ok += $5} $4 == "not-run" {notrun += $5} $4 == "unknown" {unknown += $5}
    END {printf "%6d %7d %8d %8d %7d", all, ok, notrun, unknown, all - ok - notrun - unknown}' "$FLEET_DIRECTORY/report.tsv" 2>/dev/null) || true
  printf '%-22s %s %s\n' "$1" "$row" "$([ $status = 0 ] && echo held || echo "BROKEN (status $status)")"
  if [ $status != 0 ]; then
    failed=1
    tail -n 12 "$FLEET_DIRECTORY/report.txt"
  fi
}

# Requests that a target ran so far.
runs_of() { # TARGET_NUMBER
  curl -s --max-time 2 "http://127.0.0.1:$(fleet_port target "$1")/standin/counts" | grep -o '"runs":[0-9]*' | cut -d: -f2
}

case_none() { :; }

case_kill_owner() { fleet_stop_process "entry-$(owner_of_group)" KILL || true; }

case_pause_owner() {
  local owner
  owner=$(owner_of_group)
  fleet_signal "entry-$owner" STOP
  sleep 3
  fleet_signal "entry-$owner" CONT
}

case_stop_owner() {
  if ! fleet_stop_process "entry-$(owner_of_group)" TERM; then
    echo "planned stop did not exit with status 0"
    failed=1
  fi
}

# The restarted target has forgotten its counts, so that only keys on the other targets are checked here.
case_kill_target() {
  fleet_stop_process target-1 KILL || true
  sleep 2
  fleet_start_target 1
}

case_service_down() {
  fleet_stop_process config KILL || true
  # An entry that starts now can learn its settings from its peers only; the VM list is down as well, so
  # that the restarted entry stays out of service until the service is back.
  sleep 4
  fleet_start_config
}

case_domain_out() {
  local before=0 after=0 n
  sed -i 's/name = "north-b"/name = "north-b"\ntaken_out = true/' "$FLEET_DIRECTORY/settings/platform.toml"
  sleep 3
  for ((n = 2; n <= $(fleet_target_count); n += 2)); do
    before=$((before + $(runs_of "$n")))
  done
  sleep 1.5
  for ((n = 2; n <= $(fleet_target_count); n += 2)); do
    after=$((after + $(runs_of "$n")))
  done
  if [ "$before" != "$after" ]; then
    echo "a domain taken out got $((after - before)) requests after 3 s"
    failed=1
  fi
  sed -i '/taken_out/d' "$FLEET_DIRECTORY/settings/platform.toml"
}

printf '%-22s %6s %7s %8s %8s %7s %s\n' case calls ok not-run unknown other promises
cases=("$@")
[ ${#cases[@]} -gt 0 ] || cases=(none kill_owner pause_owner stop_owner kill_target service_down domain_out)
for name in "${cases[@]}"; do
  fleet_write_settings
  write_scenario
  fleet_start
  fleet_wait_ready
  start_load
  sleep 2
  "case_$name"
  end_load "$name"
  fleet_stop
  fleet_trap_exit
done
exit $failed
