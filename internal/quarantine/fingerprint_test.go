package quarantine

import (
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

func TestFingerprintsOfDifferentRequestsDiffer(t *testing.T) {
	one := Identity{Caller: "w1", Host: "a.example", Method: "POST", Target: "/classify/1?x=2", Body: []byte("body")}
	seen := map[Fingerprint]bool{one.Fingerprint(): true}
	same := one
	same.Body = []byte("body")
	assert.True(t, seen[same.Fingerprint()], "an equal identity has the same fingerprint")
	for _, change := range []func(*Identity){
		func(i *Identity) { i.Caller = "w2" },
		func(i *Identity) { i.Host = "b.example" },
		func(i *Identity) { i.Method = "PUT" },
		func(i *Identity) { i.Target = "/classify/1?x=3" },
		func(i *Identity) { i.Body = []byte("bodY") },
		func(i *Identity) { i.Target, i.Body = i.Target+"b", []byte("ody") },
	} {
		other := one
		change(&other)
		fingerprint := other.Fingerprint()
		assert.False(t, seen[fingerprint], other)
		seen[fingerprint] = true
	}
}

func TestParseFingerprintReadsWhatStringReturns(t *testing.T) {
	fingerprint := (&Identity{Caller: "w1"}).Fingerprint()
	read, err := ParseFingerprint(fingerprint.String())
	require.NoError(t, err)
	assert.Equal(t, fingerprint, read)
	for _, text := range []string{"", "00", fingerprint.String() + "00", "zz" + fingerprint.String()[2:]} {
		_, err := ParseFingerprint(text)
		assert.Error(t, err, text)
	}
}
