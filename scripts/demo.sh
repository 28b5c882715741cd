#!/usr/bin/env bash
# Starts the stand-ins, three entries and three stewards on loopback, drives them, and stops them.
set -euo pipefail
cd "$(dirname "$0")/.."
BIN="${VENV:-.venv}/bin"
WORK="$(mktemp -d)"
# The first two numbers of every address, so that two demos can run beside each other.
NET="${DEMO_NET:-127.0}"
PLATFORM="http://$NET.0.10:9000"
PIDS=()
declare -A PID_OF

stop_all() {
    for pid in "${PIDS[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
    for pid in "${PIDS[@]}"; do wait "$pid" 2>/dev/null || true; done
    [ -n "${KEEP_LOGS:-}" ] && cat "$WORK"/*.log
    rm -rf "$WORK"
}
trap stop_all EXIT

start() { # start NAME COMMAND...
    local name="$1"
    shift
    "$@" >"$WORK/$name.log" 2>&1 &
    PID_OF[$name]=$!
    PIDS+=("$!")
}

wait_for() { # wait_for URL [CURL OPTION...]
    for _ in $(seq 100); do
        if curl -fs -o "$WORK/answer" "$@"; then return 0; fi
        sleep 0.1
    done
    echo "no answer from $1" >&2
    cat "$WORK"/*.log >&2
    return 1
}

field() { "$BIN/python" -c 'import json, sys; print(json.load(sys.stdin)[sys.argv[1]])' "$1"; }

save_metrics() { # save_metrics WHEN: of every entry that answers
    local name number=11
    for name in a b c; do
        curl -fs "http://$NET.0.$number:9100/metrics" -o "$WORK/entry-$name-$1.prom" || true
        number=$((number + 1))
    done
}

say() { printf '\n== %s\n' "$1"; }

say "stand-ins"
start platform "$BIN/python" -m standins platform $NET.0.10:9000
start match-1 "$BIN/python" -m standins engine $NET.1.1:8000 match-dossier
start match-2 "$BIN/python" -m standins engine $NET.1.2:8000 match-dossier
start egret-1 "$BIN/python" -m standins engine $NET.1.3:8000 itinerary
start egret-2 "$BIN/python" -m standins engine $NET.1.4:8000 itinerary
start bokun-1 "$BIN/python" -m standins plain $NET.1.5:8000
wait_for "$PLATFORM/calls"
for address in $NET.1.1 $NET.1.2 $NET.1.3 $NET.1.4; do
    wait_for "http://$address:8000/metrics"
done
wait_for "http://$NET.1.5:8000/ready"
for file in samples/instances/*.json; do
    sed "s/127\.0\./$NET./g" "$file" | curl -fs -o "$WORK/answer" -X PUT --data-binary @- \
        "$PLATFORM/instances/$(basename "$file" .json)"
done

say "contracts and services"
for file in samples/settings/*.ini; do
    sed "s/127\.0\./$NET./g" "$file" >"$WORK/$(basename "$file")"
done
"$BIN/egretctl" make-session-key >"$WORK/session.keys"
"$BIN/egretctl" make-key --json >"$WORK/nineras.key"
"$BIN/egretctl" make-key --json >"$WORK/hjolaferdir.key"
NINERAS="Authorization: Bearer $(field key <"$WORK/nineras.key")"
HJOLAFERDIR="Authorization: Bearer $(field key <"$WORK/hjolaferdir.key")"
sed "s/@NINERAS_DIGEST@/$(field key_sha256 <"$WORK/nineras.key")/" \
    samples/contracts/nineras.ini >"$WORK/contract-nineras.ini"
sed "s/@HJOLAFERDIR_DIGEST@/$(field key_sha256 <"$WORK/hjolaferdir.key")/" \
    samples/contracts/hjolaferdir.ini >"$WORK/contract-hjolaferdir.ini"
for file in samples/services/*.ini; do
    "$BIN/egretctl" service apply "$file" --platform "$PLATFORM"
done
for file in "$WORK"/contract-*.ini; do
    "$BIN/egretctl" contract apply "$file" --platform "$PLATFORM"
done

say "three stewards and three entries"
for name in a b c; do
    start "steward-$name" "$BIN/egret-steward" "$WORK/steward-$name.ini"
    start "entry-$name" "$BIN/egret-entry" "$WORK/entry-$name.ini"
done
for address in $NET.0.11 $NET.0.12 $NET.0.13; do
    wait_for "http://$address:8080/v1/entries" -H "$NINERAS"
done
"$BIN/egretctl" status --platform "$PLATFORM"

say "which entries a caller should use"
curl -fs -H "$NINERAS" http://$NET.0.11:8080/v1/entries
echo

say "a match dossier, streamed through entry-a"
curl -sN --fail-with-body -H "$NINERAS" --data-binary @samples/prompts/match-dossier.json \
    http://$NET.0.11:8080/v1/responses | "$BIN/python" scripts/show_stream.py

say "an itinerary, streamed through entry-b"
curl -sN --fail-with-body -H "$HJOLAFERDIR" --data-binary @samples/prompts/itinerary.json \
    http://$NET.0.12:8080/v1/responses | "$BIN/python" scripts/show_stream.py

save_metrics before

say "a seat hold, sent twice with one Idempotency-Key: it runs once"
for address in $NET.0.11 $NET.0.13; do
    curl -fs -X POST -H "$HJOLAFERDIR" -H "Idempotency-Key: hold-77" --data '{"seats": 2}' \
        "http://$address:8080/services/bokun-app/holds"
    echo
done

say "entry-b is killed during an answer that is not streamed; the caller asks entry-c"
curl -s -o "$WORK/lost" -H "$HJOLAFERDIR" --data-binary @samples/prompts/summary.json \
    http://$NET.0.12:8080/v1/responses &
ASKED=$!
sleep 1
kill -KILL "${PID_OF[entry-b]}"
wait "$ASKED" && STATUS=0 || STATUS=$?
echo "the first connection ended with curl status $STATUS and $(wc -c <"$WORK/lost" 2>/dev/null || echo 0) bytes"
curl -s --fail-with-body -H "$HJOLAFERDIR" --data-binary @samples/prompts/summary.json \
    http://$NET.0.13:8080/v1/responses | "$BIN/python" -c '
import json, sys
answer = json.load(sys.stdin)
print(answer["status"], answer.get("usage") or answer)'

say "metrics of entry-a"
save_metrics after
grep -E '^egret_(sessions|tokens|config|calls)' "$WORK/entry-a-after.prom"
say "burn of the service levels"
"$BIN/egret-report" sessions "$WORK"/entry-*-after.prom
"$BIN/egret-report" "$WORK"/entry-*.prom
"$BIN/egret-report" "$WORK"/entry-*.prom --form html --out "$WORK/burn.html"
if [ -n "${DEMO_KEEP:-}" ]; then cp "$WORK"/entry-*.prom "$WORK/burn.html" "$DEMO_KEEP"; fi

say "graceful shutdown"
"$BIN/egretctl" drain entry-a --platform "$PLATFORM"
wait "${PID_OF[entry-a]}" && echo "entry-a stopped with status 0"

say "the users' platform"
DEMO_NET="$NET" PYTHONPATH=. "$BIN/python" scripts/demo_platform.py
