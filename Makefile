# The verbs of this repository. `make run` and `make test` need only Go and make.
GO      ?= go
BIN     := bin
TOOLS   := $(CURDIR)/.tools
PROGRAMS := foldarch foldarch-entry foldarch-standin foldarch-load

.PHONY: build run test check bench model gen tools chaos soak profile

build:
	$(GO) build -o $(BIN)/ ./cmd/...

run: build
	$(BIN)/foldarch local
	./examples/jobs/run

# KNOWN_RED in the environment, a pattern of the tests in KNOWN-RED.txt, leaves them out; .ci/run sets it.
# Crowds of clients are tested apart from other packages, since each takes all that a host may use.
test:
	$(GO) test -count=1 $${KNOWN_RED:+-skip "$$KNOWN_RED"} $$($(GO) list ./... | grep -v '/test/crowds$$')
	$(GO) test -count=1 $${KNOWN_RED:+-skip "$$KNOWN_RED"} ./test/crowds

race:
	$(GO) test -race -timeout 30m -count=1 $${KNOWN_RED:+-skip "$$KNOWN_RED"} ./pkg/...

tools:
	cd tools && $(GO) build -o $(TOOLS)/ tool
	cd tools/gopls && $(GO) build -o $(TOOLS)/ tool

gen: tools
	$(TOOLS)/ogen --target pkg/store/storeapi --package storeapi --clean api/platform.yaml
	$(TOOLS)/ogen --target pkg/worker/workerapi --package workerapi --clean api/worker.yaml
	$(TOOLS)/ogen --target pkg/entry/entryapi --package entryapi --clean api/callers.yaml
	$(TOOLS)/ogen --target pkg/jobapi/jobsapi --package jobsapi --clean api/jobs.yaml
	PATH=$(TOOLS):$$PATH protoc --go_out=. --go_opt=module=foldarch.dev/foldarch \
		--go-drpc_out=. --go-drpc_opt=module=foldarch.dev/foldarch api/peer.proto api/pool.proto
	gofmt -w pkg/store/storeapi pkg/worker/workerapi pkg/entry/entryapi pkg/jobapi/jobsapi pkg/peer/peerpb pkg/poolrpc/poolpb

check: tools
	./.ci/check

bench: build
	./bench/run

chaos:
	$(GO) test ./test/e2e -run TestChaos -count=1 -v -timeout 60m -chaos.seed=$(or $(SEED),1) -chaos.seconds=$$(( $(or $(MINUTES),1) * 60 ))

soak:
	$(GO) test ./test/platform -run TestSoak -count=1 -v -timeout 90m -soak.seed=$(or $(SEED),1) -soak.seeds=$(or $(SEEDS),1) -soak.seconds=$(or $(SECONDS),12) \
		$(if $(OTHER),-build.other=$(OTHER))

# Draws where the processor of an owner goes: WORKERS workers, JOBS jobs a second, on the emulated platform.
profile:
	$(GO) test ./test/platform -run TestManyWorkers -count=1 -many.hosts=$(or $(HOSTS),10) -many.workers=$(or $(WORKERS),600) \
		-many.jobs=$(or $(JOBS),120) -many.seconds=12 -many.profile=$(CURDIR)/owner.pprof
	$(GO) tool pprof -top -cum owner.pprof | head -60

model:
	./spec/run
