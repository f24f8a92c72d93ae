# Functions that start stand-ins and entry instances as processes on loopback. Sourced by the
# scripts in this folder. Only processes that were started here are ended, by their process id.

bench_root=$(cd "$(dirname "${BASH_SOURCE[0]}")/.." && pwd)
program=${PROGRAM:-$bench_root/build/release/tanagerbay}
deployment=${DEPLOYMENT:-hanbit}
examples=$bench_root/Examples/$deployment
# Base port and failure domains of the deployment's example files.
case $deployment in
    hanbit) base=7000; domains=(kr-a kr-b kr-c) ;;
    association) base=8000; domains=(za-a za-b za-c) ;;
    *) echo "unknown deployment: $deployment" >&2; exit 2 ;;
esac
control=127.0.0.1:$((base + 900))
work=$(mktemp -d)
export TANAGERBAY_TOKEN=operator-token
declare -A entry_pid
standin_pid=

stop_all() {
    for pid in "${entry_pid[@]}" $standin_pid; do
        kill -CONT "$pid" 2> /dev/null || true
        kill -KILL "$pid" 2> /dev/null || true
    done
    wait 2> /dev/null || true
    rm -rf "$work"
}
trap stop_all EXIT

# Sends a request to the stand-ins' control port: METHOD PATH [BODY].
control_call() {
    curl -sS -o /dev/null --max-time 5 -X "$1" "http://$control$2" ${3:+-d "$3"}
}

set_fault() { # TARGET KIND [VALUE] [PROBABILITY] [DURATION_MS]
    control_call POST /v1/faults \
        "{\"target\":\"$1\",\"kind\":\"$2\",\"value\":${3:-1},\"probability\":${4:-1},\"durationMs\":${5:-86400000}}"
}

heal() { control_call DELETE "/v1/faults${1:+?target=$1}"; }

start_standins() { # ENTRIES [SED_EXPRESSION]
    sed -E "${2:-s/^//}" "$examples/standins.json" > "$work/standins.json"
    "$program" standin --settings "$work/standins.json" --entries "$1" > "$work/standins.log" 2>&1 &
    standin_pid=$!
    for _ in $(seq 100); do
        grep -q ready "$work/standins.log" && return
        sleep 0.05
    done
    cat "$work/standins.log" >&2
    return 1
}

start_entry() { # NUMBER [SED_EXPRESSION]
    local domain=${domains[$((($1 - 1) % 3))]}
    sed -E -e "0,/\"id\": \"entry-1\"/s//\"id\": \"entry-$1\"/" \
        -e "0,/\"failureDomain\": \"[^\"]*\"/s//\"failureDomain\": \"$domain\"/" \
        -e "s/:$((base + 101))\"/:$((base + 100 + $1))\"/" \
        -e "s/:$((base + 201))\"/:$((base + 200 + $1))\"/" \
        -e "0,/:$((base + 301))\"/s//:$((base + 300 + $1))\"/" \
        -e "${2:-s/^//}" "$examples/entry.json" > "$work/entry-$1.json"
    "$program" serve --settings "$work/entry-$1.json" >> "$work/entry-$1.log" 2>&1 &
    entry_pid[$1]=$!
}

wait_ready() { # NUMBER ...
    local number
    for number in "$@"; do
        for _ in $(seq 200); do
            curl -sf -o /dev/null --max-time 1 "http://127.0.0.1:$((base + 200 + number))/readyz" && continue 2
            sleep 0.05
        done
        echo "entry $number did not become ready" >&2
        cat "$work/entry-$number.log" >&2
        return 1
    done
}

put_lists() { # OPERATOR_ENTRY
    local list
    for list in plans entitlements; do
        "$program" lists put $list --operator "127.0.0.1:$((base + 200 + $1))" --accept-warnings \
            --file "$examples/$list.json" || return 1
    done
}

all_targets() { # FIRST LAST
    local number list=
    for number in $(seq "$1" "$2"); do
        list+="${list:+,}127.0.0.1:$((base + 100 + number))"
    done
    echo "$list"
}

run_load() { # OPTIONS ...
    "$program" load --workload "$examples/workload.json" --control "$control" "$@"
}
