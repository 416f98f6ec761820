#!/usr/bin/env bash
# Runs the main job on loopback: stand-ins for the platform and six targets, three entries in two
# failure domains, and traffic through them. Prints outcomes and latencies, then stops everything.
# Usage: demo.sh [BUILD_DIRECTORY]
set -euo pipefail
cd "$(dirname "$0")/.."
build=${1:-build}
work=$(mktemp -d)
pids=()
cleanup() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do wait "$pid" 2>/dev/null || true; done
  rm -rf "$work"
}
trap cleanup EXIT

mkdir -p "$work/settings/teams"
secret=demo-secret
hash=$(printf '%s' "$secret" | sha256sum | cut -d' ' -f1)
cat > "$work/settings/platform.toml" <<TOML
[[region]]
name = "north"
[[failure_domain]]
name = "north-a"
region = "north"
[[failure_domain]]
name = "north-b"
region = "north"
[[service]]
name = "status"
shed_is_not_run = true
TOML
cat > "$work/settings/teams/press.toml" <<TOML
[[customer]]
name = "line"
key_sha256 = ["$hash"]
home_regions = ["north"]
[[route]]
name = "read"
customer = "line"
path_prefix = "/status"
service = "status"
repeatable = true
[[route]]
name = "receipt"
customer = "line"
path_prefix = "/receipt"
methods = ["POST"]
service = "status"
TOML
"$build/src/anvilsaddle/anvilsaddle" check "$work/settings"
{
  printf '{"vms": ['
  for n in 1 2 3; do
    domain=north-$([ "$n" = 2 ] && echo b || echo a)
    printf '{"name":"entry-%d","address":"127.0.0.1","port":%d,"peer_port":%d,"failure_domain":"%s","role":"entry"},' \
      "$n" $((18100 + n)) $((18200 + n)) "$domain"
  done
  for n in 1 2 3 4 5 6; do
    domain=north-$([ $((n % 2)) = 0 ] && echo b || echo a)
    printf '{"name":"target-%d","address":"127.0.0.1","port":%d,"failure_domain":"%s","role":"target","service":"status"}' \
      "$n" $((18400 + n)) "$domain"
    [ "$n" = 6 ] || printf ','
  done
  printf ']}'
} > "$work/settings/vms.json"
printf 'demo-fleet-key-0123456789abcdef' > "$work/key"

"$build/src/standins/standin-configservice" --port 18000 --directory "$work/settings" &
pids+=($!)
for n in 1 2 3 4 5 6; do
  "$build/src/standins/standin-target" --port $((18400 + n)) --seed "$n" &
  pids+=($!)
done
for n in 1 2 3; do
  domain=north-$([ "$n" = 2 ] && echo b || echo a)
  cat > "$work/entry-$n.toml" <<TOML
vm = "entry-$n"
region = "north"
failure_domain = "$domain"
[listen]
port = $((18100 + n))
peer_port = $((18200 + n))
admin_port = $((18300 + n))
[platform]
configuration_service = "http://127.0.0.1:18000"
vm_list = "http://127.0.0.1:18000"
[fleet]
key_file = "$work/key"
TOML
  "$build/src/anvilsaddled/anvilsaddled" --settings "$work/entry-$n.toml" > "$work/entry-$n.log" &
  pids+=($!)
done

auth="Authorization: Bearer press.line.$secret"
answer=
for _ in $(seq 100); do
  answer=$(curl -s -H "$auth" http://127.0.0.1:18101/v1/entries) || true
  case "$answer" in *'"entries":["'*) break ;; esac
  sleep 0.1
done
echo "addresses: $answer"
ticket=$(printf '%s' "$answer" | sed 's/.*"ticket":"\([^"]*\)".*/\1/')
entry=$(printf '%s' "$answer" | sed 's/.*"entries":\["\([^"]*\)".*/\1/')
echo "== status reads, 600 a second"
"$build/src/loadtool/anvilsaddle-load" --url "http://$entry/status/1" --credential "press.line.$secret" \
  --rate 600 --count 3000
echo "== receipts, 100 a second"
"$build/src/loadtool/anvilsaddle-load" --url "http://127.0.0.1:18101/receipt" --method POST \
  --credential "press.line.$secret" --ticket "$ticket" --rate 100 --count 300
echo "== the same receipts again: none may run twice"
"$build/src/loadtool/anvilsaddle-load" --url "http://127.0.0.1:18101/receipt" --method POST \
  --credential "press.line.$secret" --ticket "$ticket" --rate 300 --count 300
for n in 1 2 3 4 5 6; do
  curl -s "http://127.0.0.1:$((18400 + n))/standin/counts" |
    sed 's/.*"most_running":\([0-9]*\),"most_runs_of_a_key":\([0-9]*\),"runs":\([0-9]*\),"shed":\([0-9]*\).*/target-'"$n"': runs \3, shed \4, most at once \1, most runs of a receipt \2/'
done
