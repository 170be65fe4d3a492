# Runs the gateway of deploy/system.toml through typical requests and messages of other VMs. For scripts at the root of the
# repository, after the build of target/platform.

readonly ARCHIVE_OPTION="-XX:SharedArchiveFile=target/gateway.jsa -Xshare:auto"

# Prints the command line of the deployment, with other options in place of those that use the archive.
# $1 the options
gateway_command() {
    local run
    run=$(sed -n 's/^run = "\(.*\)"$/\1/p' deploy/system.toml)
    if [[ $run != *"$ARCHIVE_OPTION"* ]]; then
        echo "deploy/system.toml: the command line has no $ARCHIVE_OPTION" >&2
        return 1
    fi
    echo "${run/"$ARCHIVE_OPTION"/$1}"
}

# Runs a training run of the gateway; its files are in a new directory.
# $1 the directory, $2 the options in place of those that use the archive
rehearse() {
    local work=$1 command port rehearsal gateway
    command=$(gateway_command "$2")
    port=$((20000 + RANDOM % 10000))
    rm -rf "$work"
    mkdir -p "$work"
    javac -d "$work" -cp 'target/platform/lib/*' \
        platform/src/test/java/io/coppershelf/adapter/{StoreStandIn,FleetStandIn,Rehearsal}.java
    java -cp "$work:target/platform/lib/*" io.coppershelf.adapter.Rehearsal "$work/boot.json" "$port" 2>"$work/rehearsal.log" &
    rehearsal=$!
    for _ in $(seq 100); do [ -s "$work/boot.json" ] && break; sleep 0.1; done
    COPPERSHELF_CONFIG=$work/boot.json $command >"$work/gateway.log" 2>&1 &
    gateway=$!
    if ! wait "$rehearsal"; then
        kill "$gateway"
        cat "$work/rehearsal.log" "$work/gateway.log" >&2
        return 1
    fi
    kill -TERM "$gateway"
    wait "$gateway"
}
