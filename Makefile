.PHONY: build demo measure test

build:
	go build -o bin/ ./cmd/...

test:
	go test -race ./...

demo: build
	go run ./test/demo -bin bin

measure: build
	go run ./test/measure --bin bin --out measured
	go run ./test/measure --bin bin --out measured --slow
