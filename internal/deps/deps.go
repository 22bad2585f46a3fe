// Package deps pins the libraries that the plan names until the packages that
// use them have landed. It is removed when the last of them has.
package deps

import (
	_ "connectrpc.com/connect"
	_ "github.com/HdrHistogram/hdrhistogram-go"
	_ "github.com/anishathalye/porcupine"
	_ "github.com/google/uuid"
	_ "github.com/hashicorp/golang-lru/v2"
	_ "github.com/labstack/echo/v4"
	_ "github.com/openai/openai-go/v3"
	_ "github.com/qmuntal/stateless"
	_ "github.com/quic-go/quic-go"
	_ "github.com/rcrowley/go-metrics"
	_ "github.com/rogpeppe/go-internal/testscript"
	_ "github.com/rotisserie/eris"
	_ "github.com/spf13/cobra"
	_ "github.com/stretchr/testify/require"
	_ "github.com/zeebo/xxh3"
	_ "golang.org/x/sync/errgroup"
	_ "golang.org/x/sys/unix"
	_ "golang.org/x/time/rate"
	_ "gonum.org/v1/plot"
	_ "gonum.org/v1/plot/vg/vgsvg"
	_ "k8s.io/klog/v2"
	_ "pgregory.net/rapid"
)
