java -Xmx1g -cp "$(bench_classpath)" io.coppershelf.bench.BenchMain decisions "$@"
