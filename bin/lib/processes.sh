# Functions for the scripts in bin/: build, start processes, wait for them, and stop them by id.
# Sourced, not run. The sourcing script sets -euo pipefail and runs in the root of the checkout.

RUN_DIR="${RUN_DIR:-$(mktemp -d "${TMPDIR:-/tmp}/coppershelf.XXXXXX")}"
STARTED_PIDS=()

build() {
    if [ "${SKIP_BUILD:-0}" = 1 ]; then
        return
    fi
    echo "Building ..." >&2
    if ! mvn -B -ntp -q -DskipTests package >"$RUN_DIR/build.log" 2>&1; then
        cat "$RUN_DIR/build.log" >&2
        exit 1
    fi
}

bench_classpath() {
    local jar
    jar=$(ls target/bench/bench-*.jar 2>/dev/null | head -n 1)
    if [ -z "$jar" ]; then
        echo "bench is not built: run mvn -DskipTests package" >&2
        exit 1
    fi
    echo "$jar:target/bench/lib/*"
}

# start NAME COMMAND...: runs the command in the background with its output in $RUN_DIR/NAME.log. Sets LAST_PID.
start() {
    local name=$1
    shift
    "$@" >"$RUN_DIR/$name.log" 2>&1 </dev/null &
    LAST_PID=$!
    STARTED_PIDS+=("$LAST_PID")
}

# wait_for_line NAME TEXT: waits until the log of a process contains the text, for 30 s at most.
wait_for_line() {
    local tries=0
    until grep -q -- "$2" "$RUN_DIR/$1.log" 2>/dev/null; do
        tries=$((tries + 1))
        if [ "$tries" -gt 300 ]; then
            echo "$1 did not say \"$2\" within 30 s; its log:" >&2
            tail -n 40 "$RUN_DIR/$1.log" >&2
            exit 1
        fi
        sleep 0.1
    done
}

# wait_for_http URL: waits until a GET of the URL is answered with 200, for 120 s at most.
wait_for_http() {
    local tries=0
    until curl -fs -o /dev/null --max-time 2 "$1"; do
        tries=$((tries + 1))
        if [ "$tries" -gt 1200 ]; then
            echo "$1 did not answer 200 within 120 s" >&2
            tail -n 20 "$RUN_DIR"/*.log >&2
            exit 1
        fi
        sleep 0.1
    done
}

# stop_planned PID: sends SIGTERM and waits until the process ends. Sets STOP_CODE to its exit status.
stop_planned() {
    STOP_CODE=0
    kill -TERM "$1"
    wait "$1" || STOP_CODE=$?
}

stop_all() {
    local pid
    for pid in "${STARTED_PIDS[@]:-}"; do
        if [ -n "$pid" ] && kill -0 "$pid" 2>/dev/null; then
            kill -KILL "$pid" 2>/dev/null || true
            wait "$pid" 2>/dev/null || true
        fi
    done
}
