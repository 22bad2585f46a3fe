package activation

import (
	"io"
	"net"
	"os"
	"os/exec"
	"strings"
	"testing"

	"github.com/stretchr/testify/assert"
	"github.com/stretchr/testify/require"
)

const childOf = "JAY_TEST_ACTIVATION_CHILD"

func TestWithoutASupervisorThereIsNoSocket(t *testing.T) {
	listener, err := Listener("callers")
	require.NoError(t, err)
	assert.Nil(t, listener)
}

// Story: a process is killed and started again under a supervisor that keeps
// its socket. A caller connects and asks while no process runs; its request
// must wait in the socket's queue and be answered by the next process.
func TestACallerThatComesWhileNoProcessRunsIsAnsweredByTheNext(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	caller, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	output, err := child(t, socket, "callers").CombinedOutput()
	require.NoError(t, err, string(output))
	answer, err := io.ReadAll(caller)
	require.NoError(t, err)
	assert.Equal(t, "here", string(answer))
}

// A socket under another name would be held open and never served.
func TestASocketUnderAnotherNameIsAnError(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	output, err := child(t, socket, "other").CombinedOutput()
	require.Error(t, err)
	assert.Contains(t, string(output), `sockets [other], want one with the name "callers"`)
}

// child runs TestChild in a process of its own that inherits the socket as a
// supervisor hands it over: from descriptor 3 on, the process's own id named.
func child(t *testing.T, socket net.Listener, name string) *exec.Cmd {
	t.Helper()
	file, err := socket.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	script := `LISTEN_PID=$$ exec "$0" -test.run '^TestChild$'`
	cmd := exec.Command("sh", "-c", script, os.Args[0])
	cmd.Env = append(os.Environ(), childOf+"=1", "LISTEN_FDS=1", "LISTEN_FDNAMES="+name)
	cmd.ExtraFiles = []*os.File{file}
	return cmd
}

// TestChild is the process that the tests above start; by itself it does nothing.
func TestChild(t *testing.T) {
	if os.Getenv(childOf) == "" {
		return
	}
	listener, err := Listener("callers")
	require.NoError(t, err)
	require.NotNil(t, listener)
	conn, err := listener.Accept()
	require.NoError(t, err)
	_, err = io.Copy(conn, strings.NewReader("here"))
	require.NoError(t, err)
	require.NoError(t, conn.Close())
}
