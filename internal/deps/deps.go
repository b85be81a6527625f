//go:build deps

// Package deps keeps the modules that the packages under construction need.
package deps

import (
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/aws/aws-sdk-go-v2/aws"
	_ "github.com/aws/aws-sdk-go-v2/credentials"
	_ "github.com/aws/aws-sdk-go-v2/service/dynamodb"
	_ "github.com/cespare/xxhash/v2"
	_ "github.com/go-faster/errors"
	_ "github.com/google/uuid"
	_ "github.com/gorilla/mux"
	_ "github.com/jessevdk/go-flags"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/sourcegraph/jsonrpc2"
	_ "go.uber.org/fx"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgimg"
	_ "pgregory.net/rapid"
)
