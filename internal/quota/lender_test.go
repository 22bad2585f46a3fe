package quota_test

import (
	"testing"
	"time"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/quota"
)

// Guards against a lender without the newest configuration that admits everything.
func TestLenderWithoutTheCapAdmitsNothing(t *testing.T) {
	lender := quota.NewLender(quota.Bounds{Window: 8 * time.Second, Overshoot: 0.1, Slack: 140_000})
	grant := lender.Handle(time.Unix(1_000_000, 0), quota.Report{Entry: "e1", Start: 1, Key: 1, Items: []quota.Position{{Account: 1, Need: 100}}},
		func(quota.Account) quota.Cap { return quota.Cap{} })
	assert.False(t, grant.Items[0].Admitted)
	assert.Positive(t, grant.Items[0].RetryAfter)
	assert.Zero(t, grant.Items[0].Line)
}
