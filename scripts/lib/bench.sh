# Shell functions for measurements: a cluster whose plans are prepared by `samphireway bench`.
# Source it with the repository root as the working directory, with `base` set to the first port.

source scripts/lib/cluster.sh
export SAMPHIREWAY_OPERATOR_KEY=operator-secret
reports="${SAMPHIREWAY_REPORTS:-build/bench-reports}"
mkdir -p "$reports"
secret=bench-secret
platform_port=$base
engine_port=$((base + 1))
node_port=$((base + 50))
admin_port=$((base + 51))
list_shards=16
ledger_shards=2

# Starts the platform and writes plans: start_platform PLANS BUDGET
start_platform() {
    start platform "$standin" platform --port "$platform_port"
    wait_for "http://127.0.0.1:$platform_port/counters"
    "$binary" bench --prepare-plans="$1" --model=quotes,drafts --budget="$2" --secret=$secret --platform="127.0.0.1:$platform_port" \
        --list-shards=$list_shards --ledger-shards=$ledger_shards
}

# Starts engines on consecutive ports and sets `engines`: start_engines COUNT OPTION...
start_engines() {
    local count="$1" index
    shift
    start engine "$standin" engine --port "$engine_port" --count "$count" --model quotes --version 1 "$@"
    engines=""
    for ((index = 0; index < count; index++)); do
        engines+="${engines:+,}127.0.0.1:$((engine_port + index))"
    done
    engine_count=$count
    wait_for "http://127.0.0.1:$((engine_port + count - 1))/counters"
}

# Starts a node bound to processor cores and sets `node_pid`: start_node NAME CORES [PORT_OFFSET]
start_node() {
    local offset="${3:-0}"
    write_settings "$1" zone-a $((node_port + offset)) $((admin_port + offset)) $((admin_port + offset + 1)) "$platform_port"
    sed -i "s|^  \"operators\"|  \"shards\": {\"lists\": $list_shards, \"budget_ledgers\": $ledger_shards},\n  \"log_level\": \"warning\",\n  \"operators\"|" "$work/$1.json"
    start "$1" taskset -c "$2" "$binary" serve "$work/$1.json"
    node_pid=${pids[-1]}
    wait_for "http://127.0.0.1:$((node_port + offset))/healthz"
}

# Registers the engines with an agreed load: add_upstreams REQUESTS TOKENS
add_upstreams() {
    local index
    for ((index = 0; index < engine_count; index++)); do
        cat > "$work/upstream.json" <<UPSTREAM
{"address": "127.0.0.1", "port": $((engine_port + index)), "availability_zone": "zone-a",
 "models": [{"model": "quotes", "version": "1"}], "agreed_requests": $1, "agreed_tokens": $2}
UPSTREAM
        "$binary" upstream "--server=http://127.0.0.1:$admin_port" set "engine-$index" --file "$work/upstream.json" > /dev/null
    done
    sleep 1
}

# Runs a load and saves its report as JSON: load NAME OPTION...
load() {
    local name="$1"
    shift
    "$binary" bench --node="127.0.0.1:$node_port" --upstream="$engines" --platform="127.0.0.1:$platform_port" \
        --admin="127.0.0.1:$admin_port" --secret=$secret --pid="$node_pid" --report="$reports/$name.json" "$@"
}
