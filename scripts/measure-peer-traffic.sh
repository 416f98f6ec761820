#!/usr/bin/env bash
# Measures the bytes per second that one entry sends to other entries and its idle processor time, by number
# of entries and targets, on loopback. The targets of the list do not run. Prints tab-separated lines.
# Usage: measure-peer-traffic.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET_BUILD=${1:-build}
FLEET_BASE_PORT=${FLEET_BASE_PORT:-32000}
source scripts/lib/fleet.sh
fleet_trap_exit
SETTLE_SECONDS=8
RUN_SECONDS=10

bytes_out() { # ENTRY
  curl -s --max-time 2 "http://127.0.0.1:$(fleet_port admin "$1")/metrics" |
    sed -n 's/^anvilsaddle_peer_bytes_total{direction="out"} //p'
}

printf 'entries\ttargets\tmean_bytes_per_s\tmost_bytes_per_s\tmost_cpu_percent\tmost_rss_kb\n'
for size in "3 12" "6 12" "12 12" "24 12" "6 48" "6 96"; do
  read -r FLEET_ENTRIES targets <<< "$size"
  FLEET_REGIONS=1 FLEET_TARGETS_PER_DOMAIN=$((targets / 2))
  fleet_write_settings
  fleet_start_config
  for ((n = 1; n <= FLEET_ENTRIES; ++n)); do fleet_start_entry "$n"; done
  sleep "$SETTLE_SECONDS"
  before=() cpu_before=()
  for ((n = 1; n <= FLEET_ENTRIES; ++n)); do
    before[n]=$(bytes_out "$n")
    read -r cpu_before[n] _ < <(fleet_usage "entry-$n")
  done
  sleep "$RUN_SECONDS"
  sum=0 most=0 most_cpu=0 most_rss=0
  for ((n = 1; n <= FLEET_ENTRIES; ++n)); do
    rate=$((($(bytes_out "$n") - before[n]) / RUN_SECONDS))
    read -r cpu rss < <(fleet_usage "entry-$n")
    cpu=$(((cpu - cpu_before[n]) / RUN_SECONDS))
    sum=$((sum + rate))
    most=$((rate > most ? rate : most))
    most_cpu=$((cpu > most_cpu ? cpu : most_cpu))
    most_rss=$((rss > most_rss ? rss : most_rss))
  done
  printf '%d\t%d\t%d\t%d\t%d.%d\t%d\n' "$FLEET_ENTRIES" "$targets" $((sum / FLEET_ENTRIES)) "$most" \
    $((most_cpu / 10)) $((most_cpu % 10)) "$most_rss"
  fleet_stop
  fleet_trap_exit
done
