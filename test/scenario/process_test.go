package scenario_test

import (
	"errors"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"regexp"
	"strings"
	"syscall"
	"time"
)

// readyLine matches the line that a process prints once it is ready.
var readyLine = regexp.MustCompile(`listening url=(\S+)|entry started|agent started`)

// process is one program under test, which can be restarted with the same arguments.
type process struct {
	name   string
	binary string
	args   []string
	log    string
	cmd    *exec.Cmd
	// socket is the listening socket passed to the program; nil if it opens its own.
	socket *os.File
	// url is the base URL of a stand-in, empty for other programs.
	url  string
	done chan struct{}
	err  error
}

// start starts the program and waits until it is ready.
func (p *process) start() error {
	log, err := os.OpenFile(p.log, os.O_CREATE|os.O_WRONLY|os.O_APPEND, 0o600)
	if err != nil {
		return err
	}
	defer log.Close()
	from, err := log.Seek(0, 2)
	if err != nil {
		return err
	}
	p.cmd = p.command()
	p.cmd.Stdout, p.cmd.Stderr = log, log
	if err := p.cmd.Start(); err != nil {
		return err
	}
	done := make(chan struct{})
	p.done = done
	go func() {
		p.err = p.cmd.Wait()
		close(done)
	}()
	return p.awaitReady(from)
}

// command returns the command that runs the program. A socket is passed as by systemd
// socket activation: as descriptor 3, with LISTEN_PID set to the process's own id.
func (p *process) command() *exec.Cmd {
	program := filepath.Join(binaries, p.binary)
	if p.socket == nil {
		return exec.Command(program, p.args...)
	}
	activated := append([]string{"-c", `LISTEN_PID=$$ exec "$0" "$@"`, program}, p.args...)
	cmd := exec.Command("sh", activated...)
	cmd.Env = append(os.Environ(), "LISTEN_FDS=1", "LISTEN_FDNAMES=callers")
	cmd.ExtraFiles = []*os.File{p.socket}
	return cmd
}

func (p *process) awaitReady(from int64) error {
	var ready []string
	err := poll(func() error {
		select {
		case <-p.done:
			return permanentError{fmt.Errorf("%s exited before it was ready: %w\n%s", p.name, p.exitError(), p.tail())}
		default:
		}
		text, err := os.ReadFile(p.log)
		if err != nil {
			return err
		}
		if ready = readyLine.FindStringSubmatch(string(text[from:])); ready == nil {
			return fmt.Errorf("%s is not ready\n%s", p.name, p.tail())
		}
		return nil
	})
	if err == nil && ready[1] != "" {
		p.url = ready[1]
	}
	return err
}

// exitError returns the exit error of the process, or a placeholder if it exited with
// status 0.
func (p *process) exitError() error {
	if p.err == nil {
		return errors.New("exit status 0")
	}
	return p.err
}

func (p *process) alive() bool {
	if p.done == nil {
		return false
	}
	select {
	case <-p.done:
		return false
	default:
		return true
	}
}

func (p *process) signal(s syscall.Signal) error {
	if !p.alive() {
		return fmt.Errorf("%s is not running", p.name)
	}
	return p.cmd.Process.Signal(s)
}

// kill ends the process with SIGKILL.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// exited waits until the process has exited and fails unless its status is 0.
func (p *process) exited() error {
	select {
	case <-p.done:
	case <-time.After(waitTimeout):
		return fmt.Errorf("%s does not exit\n%s", p.name, p.tail())
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w\n%s", p.name, p.err, p.tail())
	}
	return nil
}

// tail returns the last lines of the process's log.
func (p *process) tail() string {
	const lines = 15
	text, _ := os.ReadFile(p.log)
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return p.name + ": " + strings.Join(all[max(0, len(all)-lines):], "\n"+p.name+": ")
}

const (
	// waitTimeout bounds every wait for an expected event.
	waitTimeout  = 30 * time.Second
	pollInterval = 10 * time.Millisecond
)

// permanentError is an error on which poll does not retry.
type permanentError struct{ error }

// poll calls check until it succeeds, fails with a permanentError, or waitTimeout has
// passed.
func poll(check func() error) error {
	deadline := time.Now().Add(waitTimeout)
	for {
		err := check()
		var end permanentError
		if err == nil || errors.As(err, &end) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollInterval)
	}
}
