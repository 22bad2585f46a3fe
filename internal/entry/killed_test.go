package entry_test

import (
	"bufio"
	"fmt"
	"io"
	"os"
	"os/exec"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
)

const (
	// servedEntryEnv makes TestServedEntry run, in a process that is killed.
	servedEntryEnv = "JAY_TEST_SERVED_ENTRY"
	urlPrefix      = "callers' URL: "
)

// TestServedEntry is the process of TestResponseOfKilledEntryToHTTP10CallerEndsWithReset. It
// serves a response that does not end, until it is killed.
func TestServedEntry(t *testing.T) {
	if os.Getenv(servedEntryEnv) == "" {
		return
	}
	s, agent, _ := serviceDeployment(t)
	scripted := func(_ *jayv1.Offer, _ []byte, emit func(string)) *jayv1.End {
		emit("half")
		time.Sleep(time.Minute)
		return done()
	}
	agent.set(func(f *fakeAgent) { f.respond = scripted })
	fmt.Println(urlPrefix + s.entry("e1").CallersURL())
	time.Sleep(time.Minute)
}

// Guards against a response of a killed entry that an HTTP/1.0 caller takes for complete: the
// kernel closes the connections of a killed process in order.
func TestResponseOfKilledEntryToHTTP10CallerEndsWithReset(t *testing.T) {
	process := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestServedEntry$")
	process.Env = append(os.Environ(), servedEntryEnv+"=1", "TMPDIR="+t.TempDir())
	output, err := process.StdoutPipe()
	require.NoError(t, err)
	require.NoError(t, process.Start())
	url := ""
	for lines := bufio.NewScanner(output); url == "" && lines.Scan(); {
		url, _ = strings.CutPrefix(lines.Text(), urlPrefix)
		if !strings.HasPrefix(url, "http://") {
			url = ""
		}
	}
	conn := dialHTTP10(t, url, "GET", "/services/reservas/list", "")
	readUntil(t, conn, "half")
	require.NoError(t, process.Process.Kill())
	_, err = io.ReadAll(conn)
	assert.ErrorIs(t, err, syscall.ECONNRESET)
	_ = process.Wait()
}
