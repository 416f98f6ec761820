#!/usr/bin/env bash
# Measures one daemon on loopback: processor time and memory by request rate, added latency against
# sending to targets directly, idle cost by size of the VM list, and calls to the configuration service
# by number of entries. Prints tab-separated lines. Takes about two minutes.
# Usage: measure-entry.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET_BUILD=${1:-build}
FLEET_TARGET_ARGUMENTS="--service-ms 2"
source scripts/lib/fleet.sh
fleet_trap_exit

SECONDS_PER_RUN=3
# A run that falls behind its rate would otherwise wait for all answers.
LONGEST_RUN=20

load() { timeout "$LONGEST_RUN" "$FLEET_BUILD/src/loadtool/anvilsaddle-load" --vms "$FLEET_DIRECTORY/settings/vms.json" "$@"; }

# Prints p50, p99 and answers per second of the total row of a report.
total_of() { awk -F'\t' '$3 == "all" {print $6 "\t" $7 "\t" $9}' "$1"; }

measure_requests() {
  local rate rates before after cpu keyed
  FLEET_ENTRIES=1 FLEET_TARGETS_PER_DOMAIN=3
  fleet_write_settings
  fleet_start
  fleet_wait_ready
  printf 'requests\tkind\trate\tprocessor_us_per_request\trss_kb\tp50_ms\tp99_ms\tper_s\tdirect_p50_ms\tdirect_p99_ms\tdirect_per_s\n'
  for keyed in false true; do
    cat > "$FLEET_DIRECTORY/run.toml" <<TOML
[[kind]]
name = "run"
method = "$([ $keyed = true ] && echo POST || echo GET)"
path = "/status/1"
credential = "$FLEET_CREDENTIAL"
key = $keyed
TOML
    # A keyed request opens connections of its own, so that its rates are lower.
    rates="100 200 400"
    [ $keyed = false ] || rates="20 50 100"
    for rate in $rates; do
      read -r before _ < <(fleet_usage entry-1)
      load --scenario "$FLEET_DIRECTORY/run.toml" --rate $rate --count $((rate * SECONDS_PER_RUN)) --seed "$rate" \
        --output "$FLEET_DIRECTORY/proxied.tsv" > "$FLEET_DIRECTORY/proxied.txt" || { echo "# $rate/s: run failed or took too long"; continue; }
      read -r after rss < <(fleet_usage entry-1)
      load --direct --scenario "$FLEET_DIRECTORY/run.toml" --rate $rate --count $((rate * SECONDS_PER_RUN)) \
        --seed $((rate + 1)) --output "$FLEET_DIRECTORY/direct.tsv" > /dev/null || { echo "# $rate/s direct: run failed or took too long"; continue; }
      cpu=$(((after - before) * 1000 / (rate * SECONDS_PER_RUN)))
      printf 'requests\t%s\t%s\t%s\t%s\t%s\t%s\n' "$([ $keyed = true ] && echo POST+key || echo GET)" "$rate" "$cpu" "$rss" \
        "$(total_of "$FLEET_DIRECTORY/proxied.tsv")" "$(total_of "$FLEET_DIRECTORY/direct.tsv")"
      grep lateness "$FLEET_DIRECTORY/proxied.txt" | sed 's/^/# /'
    done
  done
  fleet_stop
  fleet_trap_exit
}

# The targets of the list do not run: this is the cost of knowing them.
measure_vm_list() {
  local targets before after rss
  printf 'vm_list\ttargets\tidle_processor_percent\trss_kb\n'
  for targets in 70 700 6900; do
    FLEET_ENTRIES=1 FLEET_TARGETS_PER_DOMAIN=1
    fleet_write_settings
    awk -v count="$targets" -v port="$(fleet_port entry 1)" -v peer="$(fleet_port peer 1)" 'BEGIN {
      printf "{\"revision\": 1, \"vms\": [{\"name\":\"entry-1\",\"address\":\"127.0.0.1\",\"port\":%d,\"peer_port\":%d,\"failure_domain\":\"north-a\",\"role\":\"entry\"}", port, peer
      for (n = 1; n <= count; ++n)
        printf ",{\"name\":\"target-%d\",\"address\":\"127.0.0.1\",\"port\":%d,\"failure_domain\":\"north-%s\",\"role\":\"target\",\"service\":\"status\"}", n, port + 10000 + n, n % 2 ? "a" : "b"
      print "]}"
    }' > "$FLEET_DIRECTORY/settings/vms.json"
    fleet_start_config
    fleet_start_entry 1
    sleep 3
    read -r before _ < <(fleet_usage entry-1)
    sleep "$SECONDS_PER_RUN"
    read -r after rss < <(fleet_usage entry-1)
    printf 'vm_list\t%s\t%s\t%s\n' "$targets" \
      "$(awk -v ms=$((after - before)) -v s="$SECONDS_PER_RUN" 'BEGIN {printf "%.2f", ms / s / 10}')" "$rss"
    fleet_stop
    fleet_trap_exit
  done
}

measure_config_reads() {
  local entries first second start
  printf 'config_reads\tentries\tcalls_at_start\tcalls_in_next_3_s_idle\tcalls_after_one_change\n'
  for entries in 1 3 6; do
    FLEET_ENTRIES=$entries FLEET_TARGETS_PER_DOMAIN=1
    fleet_write_settings
    fleet_start
    fleet_wait_ready
    sleep 1
    start=$(config_calls)
    sleep "$SECONDS_PER_RUN"
    first=$(config_calls)
    fleet_write_team | sed 's/max_in_flight = 10000/max_in_flight = 9999/' > "$FLEET_DIRECTORY/team.new"
    mv "$FLEET_DIRECTORY/team.new" "$FLEET_DIRECTORY/settings/teams/press.toml"
    sleep 3
    second=$(config_calls)
    printf 'config_reads\t%s\t%s\t%s\t%s\n' "$entries" "$start" "$((first - start))" "$((second - first))"
    fleet_stop
    fleet_trap_exit
  done
}

config_calls() {
  fleet_count_field "$(curl -s --max-time 2 "http://127.0.0.1:$(fleet_port config)/standin/counts")" calls
}

measure_requests
measure_vm_list
measure_config_reads
