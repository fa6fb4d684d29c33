# Sourced with $build and $base set, and $extra_settings (", KEY: VALUE ...") if wanted: starts the platform stand-in, three backend
# stand-ins of one group and three daemons on loopback, makes the first server
# primary, submits a configuration, and stops everything when the script ends.
# Sets: work, started, daemons, backends, all_daemons, primary_index, first_daemon_index, ctl().
work=$(mktemp -d)
started=()
stop_all() {
    for pid in "${started[@]}"; do kill "$pid" 2>/dev/null || true; done
    for pid in "${started[@]}"; do wait "$pid" 2>/dev/null || true; done
    rm -rf "$work"
}
trap stop_all EXIT

start() { # NAME PROGRAM ARGUMENTS...
    local name=$1
    shift
    "$@" > "$work/$name.log" 2>&1 &
    started+=($!)
}

platform=127.0.0.1:$base
start platform "$build/testing/standins/platform/standin-platform" --address=127.0.0.1 --port="$base"
backends=()
daemons=()
names=(vejle-a roskilde-a odense-a)
servers=(ledger-1-a ledger-1-b ledger-1-c)
for i in 0 1 2; do
    port=$((base + 10 + 2 * i))
    backends+=("127.0.0.1:$port")
    [ "$i" = 0 ] && primary_index=${#started[@]}
    start "backend-$i" "$build/testing/standins/backend/standin-backend" \
        --name="${servers[$i]}" --address=127.0.0.1 --port="$port" --connect_ms=10
done
for i in 0 1 2; do
    callers=$((base + 20 + i)) mesh=$((base + 30 + i)) operators=$((base + 40 + i))
    daemons+=("127.0.0.1:$callers")
    cat > "$work/daemon-$i.json" <<JSON
{
    "name": "${names[$i]}-1",
    "failure_domain": "${names[$i]}",
    "callers": {"address": "127.0.0.1", "port": $callers},
    "mesh": {"address": "127.0.0.1", "port": $mesh},
    "seeds": [{"address": "127.0.0.1", "port": $((base + 30))}, {"address": "127.0.0.1", "port": $((base + 31))}],
    "operators": {"address": "127.0.0.1", "port": $operators},
    "platform_url": "http://$platform",
    "mesh_keys": ["demo-mesh-key-demo-mesh-key-demo"],
    "operator_keys": ["demo-operator-key-demo-operator-"]${extra_settings:-}
}
JSON
    [ "$i" = 0 ] && first_daemon_index=${#started[@]}
    start "daemon-$i" "$build/packages/daemon/gypsumstepd" --settings="$work/daemon-$i.json"
done
join() { local IFS=,; echo "$*"; }

server_json() { # INDEX
    echo "\"${servers[$1]}\": {\"address\": \"127.0.0.1\", \"port\": ${backends[$1]#*:}," \
        "\"domain\": \"${names[$1]}\", \"slots\": 5, \"connections\": 30}"
}
cat > "$work/configuration.json" <<JSON
{
    "version": 1,
    "domains": {
        "vejle-a": {"region": "jylland"},
        "roskilde-a": {"region": "sjaelland"},
        "odense-a": {"region": "fyn"}
    },
    "groups": {
        "ledger-1": {
            "service": "ledger",
            "servers": {$(server_json 0), $(server_json 1), $(server_json 2)}
        }
    },
    "ranks": {
        "urgent": {"target_ms": 100, "objective": 0.999, "slot_floor": 0.0, "queue_limit": 1000},
        "next": {"target_ms": 500, "objective": 0.99, "slot_floor": 0.2, "queue_limit": 500},
        "last": {"target_ms": 2000, "objective": 0.95, "slot_floor": 0.1, "queue_limit": 200}
    }
}
JSON
echo "demo-operator-key-demo-operator-" > "$work/key"
ctl() { # COMMAND... to the second daemon
    "$build/packages/ctl/gypsumstepctl" --daemon="127.0.0.1:$((base + 41))" --key_file="$work/key" "$@"
}
for _ in $(seq 100); do
    if ctl config history > /dev/null 2>&1; then break; fi
    sleep 0.1
done
"$build/testing/demo/demo-client" --backends="$(join "${backends[@]}")"
if ! ctl config patch --base=0 --reason="first configuration" "$work/configuration.json"; then
    tail -n 20 "$work"/*.log
    exit 1
fi
echo "ok      gypsumstepctl submitted configuration 1"
all_daemons=$(join "${daemons[@]}")
