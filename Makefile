.PHONY: build capacity demo fuzz measure mutations overhead recovery test

build:
	go build -o bin/ ./cmd/...

# SKIP is a regular expression of tests to pass over; .ci/run sets it from KNOWN-RED.txt.
test:
	go test -race -count=1 $(if $(SKIP),-skip '$(SKIP)') ./...
	go test -count=1 -run TestCallersOutside ./test/platform -hostile
	go test -count=1 -run TestPromises ./internal/home -seed 2
	go test -count=1 -run TestPromises ./internal/home -schedules 1 -seed 49020779

demo: build
	go run ./tools/demo -bin bin

recovery: build
	go run ./tools/recovery -bin bin

measure: build
	go run ./tools/measure --bin bin --out measured
	go run ./tools/measure --bin bin --out measured --slow

mutations:
	go test -count=1 -v -timeout 60m -tags mutations ./test/mutations

capacity: build
	go run ./tools/capacity -bin bin

# Not a part of the tests, whose verdict must be the same in every run. The corpus in the sources is.
FUZZTIME ?= 60s
fuzz:
	go test -run '^$$' -fuzz FuzzRequest -fuzztime $(FUZZTIME) ./internal/gateway
	go test -run '^$$' -fuzz FuzzEvents -fuzztime $(FUZZTIME) ./internal/gateway
	go test -run '^$$' -fuzz FuzzReadFrame -fuzztime $(FUZZTIME) ./internal/peer

overhead: build
	go run ./tools/overhead -bin bin
