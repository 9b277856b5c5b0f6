# The two commands of the README are `make demo` and `make test`.
GO ?= go
PKGS = ./mesh/... ./bench/...

.PHONY: all build test demo capacity fmt lint soak fuzz

all: build

build:
	$(GO) build -o bin/ ./mesh/cmd/... ./bench/cmd/...

test:
	$(GO) test -timeout 300s $(PKGS)

demo: build
	./bin/bench demo --bin bin

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
	gofmt -l -w mesh bench

lint:
	golangci-lint run $(PKGS)
