package dialect_test

import (
	"context"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/engine/dialect"
	standin "github.com/jayproxy/jayproxy/internal/standin/engine"
	"github.com/jayproxy/jayproxy/internal/standin/engine/sim"
)

// BenchmarkStream runs one streamed response of 64 tokens to a prompt of 8 KB,
// including the stand-in's processor time.
func BenchmarkStream(b *testing.B) {
	for _, vendor := range []string{dialect.Merle, dialect.Pica} {
		b.Run("vendor="+vendor, func(b *testing.B) {
			server, err := standin.Start(standin.Options{Vendor: vendor, Engine: sim.Options{
				Versions: []string{"sha256:v1"}, PrefillTokensPerSecond: 1e9, DecodeStep: time.Microsecond,
				OutputTokens: 64, MaxRunning: 64,
			}})
			require.NoError(b, err)
			defer server.Close()
			client, err := dialect.Open(vendor, server.URL())
			require.NoError(b, err)
			prompt := strings.Repeat("contract ", 900)
			for i := 0; b.Loop(); i++ {
				stream, err := client.Submit(context.Background(), request(fmt.Sprint(i), prompt, true))
				require.NoError(b, err)
				for err == nil {
					_, err = stream.Next(context.Background())
				}
				require.True(b, errors.Is(err, io.EOF), err)
				_ = stream.Close()
			}
		})
	}
}
