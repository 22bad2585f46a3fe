package settings_test

import (
	"errors"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	"github.com/jayproxy/jayproxy/internal/findings"
	"github.com/jayproxy/jayproxy/internal/settings"
)

type sample struct {
	Listen string `toml:"listen" validate:"required"`
	Limits struct {
		Body int `toml:"body_bytes" validate:"min=1"`
	} `toml:"limits"`
}

func TestParseReportsAllFindingsWithTheirLines(t *testing.T) {
	var target sample
	err := settings.Parse("a.toml", []byte("listen = \"\"\n[limits]\nbody_bytes = 0\n"), &target)
	var found *findings.Error
	require.True(t, errors.As(err, &found))
	require.Len(t, found.Findings, 2)
	assert.Equal(t, "a.toml:1: listen: value  breaks the rule required", found.Findings[0].String())
	assert.Equal(t, "a.toml:3: limits.body_bytes: value 0 breaks the rule min=1", found.Findings[1].String())
}

func TestAddressesAreIPNumbersWithAPort(t *testing.T) {
	for text, good := range map[string]bool{"127.0.0.1:0": true, "[::1]:7443": true, "localhost:80": false, "10.0.0.1": false} {
		var target struct {
			Listen string `toml:"listen" validate:"ip_port"`
		}
		err := settings.Parse("a.toml", []byte("listen = \""+text+"\"\n"), &target)
		assert.Equal(t, good, err == nil, text)
	}
}

func TestParseNamesUnknownKeys(t *testing.T) {
	var target sample
	err := settings.Parse("a.toml", []byte("listen = \"x\"\nlisten_on = 1\n[limits]\nbody = 3\n"), &target)
	var found *findings.Error
	require.True(t, errors.As(err, &found))
	require.Len(t, found.Findings, 2)
	assert.Equal(t, 2, found.Findings[0].Line)
	assert.Equal(t, "limits.body", found.Findings[1].Path)
}

func TestLinesCountsArraysOfTables(t *testing.T) {
	lines := settings.Lines([]byte("[[pool]]\nname = \"a\"\n[[pool.versions]]\nname = \"v1\"\n[[pool]]\nname = \"b\"\n"))
	assert.Equal(t, 2, lines["pool[0].name"])
	assert.Equal(t, 4, lines["pool[0].versions[0].name"])
	assert.Equal(t, 6, lines["pool[1].name"])
}

func FuzzLines(f *testing.F) {
	f.Add([]byte("[a]\nb = 1\n[[c.d]]\ne = [1, 2]\n"))
	f.Add([]byte("= broken"))
	f.Fuzz(func(t *testing.T, text []byte) {
		for key, line := range settings.Lines(text) {
			if line < 0 {
				t.Fatalf("key %q has line %d", key, line)
			}
		}
	})
}

type nested struct {
	Wait  time.Duration `toml:"wait" validate:"min=10ms"`
	Inner struct {
		Pause time.Duration `toml:"pause"`
		Name  string        `toml:"name"`
	} `toml:"inner"`
}

func TestDurationsAreWrittenAsText(t *testing.T) {
	var s nested
	require.NoError(t, settings.Parse("f.toml", []byte("wait = \"1m30s\"\n[inner]\nname = \"5s\"\npause = '250ms'\n"), &s))
	assert.Equal(t, 90*time.Second, s.Wait)
	assert.Equal(t, 250*time.Millisecond, s.Inner.Pause)
	assert.Equal(t, "5s", s.Inner.Name)
	err := settings.Parse("f.toml", []byte("\nwait = \"1ms\"\n"), &s)
	require.ErrorContains(t, err, "f.toml:2: wait: value 1ms breaks the rule min=10ms")
	err = settings.Parse("f.toml", []byte("\nwait = \"soon\"\n"), &s)
	require.ErrorContains(t, err, "f.toml:2: wait")
}
