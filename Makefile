# Targets: build, test (what CI runs), lint, demo (one request through real processes), up (the same in the foreground).
GO      ?= go
MODULES := api platform router lab
BIN     := bin

.PHONY: build test lint unit examples links demo up clean

build:
	$(GO) build -o $(BIN)/ ./router/cmd/... ./lab/cmd/...

lint:
	scripts/lint.sh $(MODULES)

unit:
	scripts/unit.sh $(MODULES)

# Every example catalogue must pass the same check that operators run.
examples: build
	scripts/check-examples.sh $(BIN)/tanagerwood

links:
	scripts/check-links.sh

test: lint links build examples unit

demo: build
	scripts/demo.sh

up: build
	scripts/up.sh

clean:
	rm -rf $(BIN) out
