#!/usr/bin/env bash
# Runs the main job on loopback: stand-ins for the platform and six targets, three entries in two
# failure domains, and traffic through them. Prints outcomes and latencies, then stops everything.
# Fails if a request that is not repeatable ran twice. Usage: demo.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
FLEET_BUILD=${1:-build}
FLEET_ENTRIES=3 FLEET_TARGETS_PER_DOMAIN=3 FLEET_REGIONS=1
source scripts/lib/fleet.sh

load() { "$FLEET_BUILD/src/loadtool/anvilsaddle-load" --vms "$FLEET_DIRECTORY/settings/vms.json" "$@"; }

fleet_trap_exit
fleet_write_settings
"$FLEET_BUILD/src/anvilsaddle/anvilsaddle" check "$FLEET_DIRECTORY/settings"
cat > "$FLEET_DIRECTORY/reads.toml" <<TOML
rate = 600
count = 3000
[[kind]]
name = "status-read"
path = "/status/1"
credential = "$FLEET_CREDENTIAL"
TOML
cat > "$FLEET_DIRECTORY/receipts.toml" <<TOML
rate = 100
count = 300
[[kind]]
name = "receipt"
method = "POST"
path = "/status/receipt"
credential = "$FLEET_CREDENTIAL"
key = true
body_bytes = 200
TOML

fleet_start
fleet_wait_ready
answer=$(fleet_entries_answer 1)
ticket=$(sed 's/.*"ticket":"\([^"]*\)".*/\1/' <<< "$answer")
echo "addresses: $(sed 's/"ticket":"[^"]*"/"ticket":"..."/' <<< "$answer")"
echo "== status reads, 600 a second"
load --scenario "$FLEET_DIRECTORY/reads.toml"
echo "== receipts, 100 a second"
load --scenario "$FLEET_DIRECTORY/receipts.toml" --entry "$(fleet_entry_address 1)" --ticket "$ticket"
echo "== the same receipts again, 300 a second: none may run twice"
load --scenario "$FLEET_DIRECTORY/receipts.toml" --entry "$(fleet_entry_address 1)" --ticket "$ticket" --rate 300
echo "== targets"
fleet_print_targets
