package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/catalog"
)

// A booking is confirmed twice. Its path was written in another form that the
// service reads the same way, and no declaration matched it: the call passed
// for one that may be repeated. The agent, which has the last word, must read
// paths as the entry does.
func TestCallPathReadsEveryFormOfAPathAsTheServiceDoes(t *testing.T) {
	tests := []struct {
		target string
		want   string
		clean  bool
	}{
		{"/confirm", "/confirm", true},
		{"/confirm/?now=1", "/confirm/", true},
		{"/%63onfirm", "/confirm", true},
		{"/confirm;v=1/7", "/confirm/7", true},
		{"/x/../confirm", "", false},
		{"/x/%2e%2e/confirm", "", false},
		{"//confirm", "", false},
		{"confirm", "", false},
		{"/%zz", "", false},
	}
	for _, test := range tests {
		got, clean := catalog.CallPath(test.target)
		assert.Equal(t, test.clean, clean, test.target)
		assert.Equal(t, test.want, got, test.target)
	}
}

func FuzzCallPath(f *testing.F) {
	f.Add("/confirm;x?y")
	f.Add("/%63onfirm/..")
	f.Fuzz(func(t *testing.T, target string) {
		path, clean := catalog.CallPath(target)
		if clean && path[0] != '/' {
			t.Fatalf("%q reads as %q", target, path)
		}
	})
}
