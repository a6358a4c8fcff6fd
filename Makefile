PACKAGES = g++ make cmake ninja-build pkg-config libpoco-dev libzmq3-dev \
  cppzmq-dev libprotobuf-dev protobuf-compiler libboost-dev libboost-log-dev rapidjson-dev \
  libxxhash-dev zlib1g-dev libcppunit-dev libbenchmark-dev
SOURCES = $(shell git ls-files --cached --others --exclude-standard \
  'src/*.cpp' 'src/*.h' 'include/*.h' \
  'tests/*.cpp' 'tests/*.h' 'bench/*.cpp' 'bench/*.h' 'examples/*.cpp' 'platform/*.cpp' 'platform/*.h' \
  | grep -v '\.pb\.')

.PHONY: all packages build test demo bench search format lint check-format clean

all: build

# Installs what is missing, once; a no-op on a machine that has it all.
packages:
	@dpkg -s $(PACKAGES) >/dev/null 2>&1 || \
	  (apt-get update && apt-get install -y $(PACKAGES))

build: packages
	@cmake --preset default >/dev/null
	@cmake --build --preset default

test: build
	@ctest --test-dir build --output-on-failure

demo: build
	@tools/demo.sh

bench: build
	@build/bench/routing_bench
	@build/bench/dispatch_bench
	@build/bench/step_bench

search: build
	@build/bench/safety_search --seconds $(or $(SECONDS),60)

format:
	@clang-format -i $(SOURCES)

check-format:
	@clang-format --dry-run --Werror $(SOURCES)

lint: build
	@tools/lint.sh

clean:
	@rm -rf build build-sanitize demo-run
