# Measures the processor time of starts of the gateway as deployed, in turn with that of other checkouts, which
# bin/build-system has built. Usage: bin/bench start [STARTS [CHECKOUT...]]

readonly START_PORT=24000
readonly START_VMS=92

measure_starts() {
    local starts=${1:-10} work=target/start-cost
    bin/build-system
    mkdir -p "$work"
    javac -d "$work" -cp 'target/platform/lib/*' \
        platform/src/test/java/io/coppershelf/adapter/{StoreStandIn,FleetStandIn,StartCost}.java
    java -cp "$work:target/platform/lib/*" io.coppershelf.adapter.StartCost "$START_PORT" "$START_VMS" "$starts" . "${@:2}"
}

measure_starts "$@"
