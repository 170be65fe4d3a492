# Measures a single daemon, which owns all server groups, and then one of three daemons, which forwards to the others.

measure() {
    local daemons=$1 label=$2
    start_stand_ins association "$daemons"
    start_daemons association "$daemons"
    java -Xmx512m -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain overhead \
        --ticket "$(ls examples/association/tickets/*.json | head -n 1)" \
        --caller "http://$(vm_host 1):$CALLER_PORT" --operator "http://$(vm_host 1):$OPERATOR_PORT" \
        --label "$label" "${@:3}"
    stop_all
}

measure 1 "one daemon" "$@"
measure 3 "one of three daemons" "$@"
