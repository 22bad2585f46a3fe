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

const childEnv = "JAY_TEST_ACTIVATION_CHILD"

func TestWithoutASupervisorThereIsNoSocket(t *testing.T) {
	listener, err := Listener("callers")
	require.NoError(t, err)
	assert.Nil(t, listener)
}

// Guards against connections that are lost while a process restarts: one made
// meanwhile must wait in the socket's accept queue.
func TestAConnectionMadeWhileNoProcessRunsIsAnsweredByTheNext(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	caller, err := net.Dial("tcp", socket.Addr().String())
	require.NoError(t, err)
	defer func() { _ = caller.Close() }()
	output, err := childCommand(t, socket, "callers").CombinedOutput()
	require.NoError(t, err, string(output))
	answer, err := io.ReadAll(caller)
	require.NoError(t, err)
	assert.Equal(t, "here", string(answer))
}

// Guards against an inherited socket on which no process accepts.
func TestASocketUnderAnotherNameIsAnError(t *testing.T) {
	socket, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer func() { _ = socket.Close() }()
	output, err := childCommand(t, socket, "other").CombinedOutput()
	require.Error(t, err)
	assert.Contains(t, string(output), `sockets [other], want exactly one with the name "callers"`)
}

// childCommand returns a command that runs TestChild in a new process. The process
// inherits the socket as systemd passes it: as descriptor 3, with the process's own
// ID in LISTEN_PID.
func childCommand(t *testing.T, socket net.Listener, name string) *exec.Cmd {
	t.Helper()
	file, err := socket.(*net.TCPListener).File()
	require.NoError(t, err)
	t.Cleanup(func() { _ = file.Close() })
	script := `LISTEN_PID=$$ exec "$0" -test.run '^TestChild$'`
	cmd := exec.Command("sh", "-c", script, os.Args[0])
	cmd.Env = append(os.Environ(), childEnv+"=1", "LISTEN_FDS=1", "LISTEN_FDNAMES="+name)
	cmd.ExtraFiles = []*os.File{file}
	return cmd
}

// TestChild runs in the process started by the tests above. Otherwise it does
// nothing.
func TestChild(t *testing.T) {
	if os.Getenv(childEnv) == "" {
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
