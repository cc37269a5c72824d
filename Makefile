.PHONY: build capacity demo measure mutations recovery test

build:
	go build -o bin/ ./cmd/...

test:
	go test -race -count=1 ./...

demo: build
	go run ./test/demo -bin bin

recovery: build
	go run ./test/recovery -bin bin

measure: build
	go run ./test/measure --bin bin --out measured
	go run ./test/measure --bin bin --out measured --slow

mutations:
	go test -count=1 -v -timeout 60m -tags mutations ./test/mutations

capacity: build
	go run ./test/capacity -bin bin
