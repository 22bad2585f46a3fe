package gateway

import (
	"math"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"google.golang.org/protobuf/proto"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/quota"
)

func fullReport() quota.Report {
	r := quota.Report{Entry: "front-quito-sala-b-10", Start: math.MaxUint64, Key: 1 << 40, Received: 1 << 40}
	for i := range maxPositions {
		r.Items = append(r.Items, quota.Position{
			Account: quota.Account(1<<32 - 1 - i), Used: 1e12, Balance: 1e12, Drawn: -1e12, Total: 1e12, TotalAge: time.Hour, Borrows: true,
			Need: 1e6, Rank: 9, Caller: math.MaxUint64, Patience: time.Minute,
		})
	}
	return r
}

// Guards against reports that are too long for a datagram and are never sent.
func TestReportOfAllPositionsFitsADatagram(t *testing.T) {
	r := fullReport()
	size := proto.Size(&jayv1.Datagram{Body: &jayv1.Datagram_QuotaReport{QuotaReport: encodeReport(&r)}})
	assert.LessOrEqual(t, size, maxDatagramBytes)
}

func TestReportsAndGrantsKeepTheirMeaningOnTheWire(t *testing.T) {
	r := fullReport()
	assert.Equal(t, r, decodeReport(encodeReport(&r)))
	g := quota.Grant{Key: 7, Number: 9, Items: []quota.Loan{
		{Account: 3, Admitted: true, Line: 1e9, Total: 2e9, Level: -5}, {Account: 4, RetryAfter: 410 * time.Millisecond},
	}}
	assert.Equal(t, g, decodeGrant(encodeGrant(&g)))
}
