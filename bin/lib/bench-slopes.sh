java -Xmx6g -XX:+UseSerialGC -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain slopes "$@"
