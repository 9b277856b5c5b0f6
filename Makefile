# The two commands of the README are `make demo` and `make test`.
GO ?= go
PKGS = ./mesh/... ./bench/...

.PHONY: all build test demo faults fmt lint soak fuzz

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

fmt:
	gofmt -l -w mesh bench

lint:
	golangci-lint run $(PKGS)
