.PHONY: build test lint run

build:
	mkdir -p bin && go build -o bin/ ./cmd/...

test:
	go test -race -timeout 5m ./...

lint:
	@test -z "$$(gofmt -l .)" || { gofmt -l .; exit 1; }
	go vet ./...

# Starts the gateway on loopback; start the toy servers first, see README.md.
run: build
	LB_CONFIG=examples/config.json bin/thymebend
