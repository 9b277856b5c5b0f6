# The two commands of the README are `make demo` and `make test`.
GO ?= go
PKGS = ./mesh/... ./bench/... ./platform/...

.PHONY: all build test demo faults walkthrough capacity fmt lint soak fuzz

all: build

build:
	$(GO) build -o bin/ ./mesh/cmd/... ./bench/cmd/...

test:
	$(GO) test -timeout 300s $(PKGS)

demo: build
	./bin/bench demo --bin bin

# Runs the failure scenarios; NAMES selects some of them.
faults: build
	./bin/bench faults --bin bin $(NAMES)

# Experiments on the traffic side; run them one after the other.
.PHONY: experiment-latency experiment-overload experiment-datacentre experiment-bodies experiment-faults

experiment-latency: build
	./bin/bench experiment latency --bin bin

experiment-overload: build
	./bin/bench experiment overload --bin bin

experiment-datacentre: build
	./bin/bench experiment datacentre --bin bin --size aare
	./bin/bench experiment datacentre --bin bin --size sfax

experiment-bodies: build
	./bin/bench experiment bodies --bin bin

experiment-faults: build
	./bin/bench experiment faults --bin bin

# Random faults that overlap, over real processes; SEEDS selects the seeds.
SEEDS ?= fresh:5
soak: build
	./bin/bench soak --bin bin --seeds $(SEEDS)

# Each fuzz target for FUZZTIME.
FUZZTIME ?= 20s
fuzz:
	grep -rhoE --include='*_test.go' '^func Fuzz[A-Za-z]+' mesh platform -H | sed 's|/[^/]*_test.go:func | |' | \
	while read -r dir name; do $(GO) test ./$$dir -run '^$$' -fuzz "^$$name$$" -fuzztime $(FUZZTIME) || exit 1; done

walkthrough: build
	./examples/walkthrough.sh

# The slopes behind docs/CAPACITY.md; about 15 minutes.
capacity: build
	./bin/bench capacity tables
	./bin/bench capacity node --bin bin
	./bin/bench capacity versions
	./bin/bench capacity notes
	./bin/bench capacity claim-state
	./bin/bench capacity fleet --bin bin
	./bin/bench capacity tree --bin bin
	./bin/bench capacity calls --bin bin
	./bin/bench capacity calls --bin bin --write
	./bin/bench capacity claims --bin bin

fmt:
	gofmt -l -w mesh bench platform

lint:
	golangci-lint run $(PKGS)
