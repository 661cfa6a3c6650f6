# Shell functions that start stand-ins and nodes on loopback and stop them again by process id.
# Source it with the repository root as the working directory.

binary="${SAMPHIREWAY_BINARY:-build/samphireway}"
standin="${SAMPHIREWAY_STANDIN:-build/samphireway-standin}"
work=$(mktemp -d)
pids=()

# Stops the programs in reverse order of their start, as a node returns its grants to the platform when it
# stops.
stop_all() {
    local index
    for ((index = ${#pids[@]} - 1; index >= 0; index--)); do
        # Under `set -e`, the exit code of a process that the signal ended must not end this function.
        { kill "${pids[$index]}" && wait "${pids[$index]}"; } 2>/dev/null || true
    done
    rm -rf "$work"
}
trap stop_all EXIT

# Starts a program in the background and remembers its id: start LOG COMMAND...
start() {
    local log="$1"
    shift
    "$@" > "$work/$log.out" 2> "$work/$log.log" &
    pids+=($!)
}

# Waits until a URL answers: wait_for URL
wait_for() {
    local attempt
    for attempt in $(seq 1 100); do
        curl -s -o /dev/null --max-time 1 "$1" && return 0
        sleep 0.1
    done
    echo "no answer from $1" >&2
    return 1
}

# Writes a node's settings: write_settings NAME ZONE CALLER_PORT ADMIN_PORT PEER_PORT PLATFORM_PORT
write_settings() {
    cat > "$work/$1.json" <<SETTINGS
{
  "node": {"id": "$1", "availability_zone": "$2"},
  "listen": {"address": "127.0.0.1", "caller_port": $3, "admin_port": $4, "peer_port": $5},
  "platform": {"address": "127.0.0.1", "port": $6},
  "operators": [{"name": "cluster", "role": "editor",
                 "key_hash": "$(printf %s operator-secret | sha256sum | cut -d' ' -f1)"}],
  "peer_keys": ["peer-key-for-local-tests"]
}
SETTINGS
}

# Starts a platform, two engines of model "quotes" and two nodes, and creates plan "shop" with a deposit:
# start_cluster BASE_PORT DEPOSIT [ENGINE_OPTION...]
# Ports: platform BASE, engines BASE+1 and BASE+2, node-1 BASE+10 (callers) and +11 (administration),
# node-2 BASE+20 and +21.
start_cluster() {
    local base="$1" deposit="$2" index
    shift 2
    export SAMPHIREWAY_OPERATOR_KEY=operator-secret
    start platform "$standin" platform --port "$base"
    start engines "$standin" engine --port $((base + 1)) --count 2 --model quotes --version 1 "$@"
    write_settings node-1 zone-a $((base + 10)) $((base + 11)) $((base + 12)) "$base"
    write_settings node-2 zone-b $((base + 20)) $((base + 21)) $((base + 22)) "$base"
    wait_for "http://127.0.0.1:$base/counters"
    start node-1 "$binary" serve "$work/node-1.json"
    start node-2 "$binary" serve "$work/node-2.json"
    wait_for "http://127.0.0.1:$((base + 10))/healthz"
    wait_for "http://127.0.0.1:$((base + 20))/healthz"
    admin="--server=http://127.0.0.1:$((base + 11))"
    {
        for index in 1 2; do
            cat > "$work/upstream.json" <<UPSTREAM
{"address": "127.0.0.1", "port": $((base + index)), "availability_zone": "zone-a",
 "models": [{"model": "quotes", "version": "1"}], "agreed_requests": 32, "agreed_tokens": 100000}
UPSTREAM
            "$binary" upstream "$admin" set "engine-$index" --file "$work/upstream.json"
        done
        "$binary" plan "$admin" create shop --workspace shop --caller-key secret
        "$binary" plan "$admin" deposit shop --id first --amount "$deposit"
        echo '[{"model": "quotes"}]' > "$work/access.json"
        "$binary" access "$admin" set shop --file "$work/access.json"
    } > "$work/setup.out"
    sleep 1
}

# Sends a streamed request: ask_stream NODE_PORT MAX_TOKENS REQUEST_ID
ask_stream() {
    curl -sS -N --max-time 60 -H "Authorization: Bearer shop.secret" -H "X-Request-Id: $3" \
        -d "{\"model\": \"quotes\", \"max_tokens\": $2, \"stream\": true,
             \"messages\": [{\"role\": \"user\", \"content\": \"a wheel for request $3\"}]}" \
        "http://127.0.0.1:$1/v1/chat/completions"
}

# Prints one field of the plan's budget, read from node-1's or the given administration address: budget FIELD
budget() {
    "$binary" plan "$admin" budget shop --json | sed -n "s/.*\"$1\":\\(-\\{0,1\\}[0-9]*\\).*/\\1/p"
}

# Waits until the plan's spend reaches a number of tokens, as settlements take some seconds:
# wait_for_spend TOKENS
wait_for_spend() {
    local attempt
    for attempt in $(seq 1 20); do
        [ "$(budget spent)" -ge "$1" ] && return 0
        sleep 1
    done
    echo "the spend did not reach the expected tokens in time: $(budget spent)" >&2
    return 1
}
