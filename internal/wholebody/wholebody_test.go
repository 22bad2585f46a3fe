package wholebody_test

import (
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/wholebody"
)

// Guards against a body above the limit that is cut off there and taken for complete.
func TestBodyAboveTheLimitFails(t *testing.T) {
	body, err := wholebody.ReadUpTo(strings.NewReader("12345"), 5)
	require.NoError(t, err)
	assert.Equal(t, "12345", string(body))
	_, err = wholebody.ReadUpTo(strings.NewReader("123456"), 5)
	assert.ErrorIs(t, err, wholebody.ErrTooLong)
}
