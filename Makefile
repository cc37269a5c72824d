.PHONY: build demo test

build:
	go build -o bin/ ./cmd/...

test:
	go test -race ./...
