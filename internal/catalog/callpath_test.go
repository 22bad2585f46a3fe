package catalog_test

import (
	"testing"

	"github.com/stretchr/testify/assert"

	"github.com/jayproxy/jayproxy/internal/catalog"
)

// Guards against a non-repeatable call that is repeated because its path is
// written in an equivalent form that no declaration matches.
func TestCallPathNormalizesEquivalentPaths(t *testing.T) {
	tests := []struct {
		target string
		want   string
		ok     bool
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
		got, ok := catalog.CallPath(test.target)
		assert.Equal(t, test.ok, ok, test.target)
		assert.Equal(t, test.want, got, test.target)
	}
}

func FuzzCallPath(f *testing.F) {
	f.Add("/confirm;x?y")
	f.Add("/%63onfirm/..")
	f.Fuzz(func(t *testing.T, target string) {
		path, ok := catalog.CallPath(target)
		if ok && path[0] != '/' {
			t.Fatalf("%q is normalized to %q, which is not absolute", target, path)
		}
	})
}
