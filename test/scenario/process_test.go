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

// readyLine is what a process prints once it serves.
var readyLine = regexp.MustCompile(`listening url=(\S+)|entry serves|agent started`)

// process is one program under test. It can be started again as it was.
type process struct {
	name   string
	binary string
	args   []string
	log    string
	cmd    *exec.Cmd
	// socket that the script holds for the program; nil: it opens its own.
	socket *os.File
	// url of a stand-in.
	url  string
	done chan struct{}
	err  error
}

// start runs the program and waits until it serves.
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

// command runs the program; with a socket, as a supervisor that holds it does:
// the socket is descriptor 3, and the environment names the process's own id.
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
			return final{fmt.Errorf("%s ended: %w\n%s", p.name, p.exitError(), p.tail())}
		default:
		}
		text, err := os.ReadFile(p.log)
		if err != nil {
			return err
		}
		if ready = readyLine.FindStringSubmatch(string(text[from:])); ready == nil {
			return fmt.Errorf("%s does not say that it serves\n%s", p.name, p.tail())
		}
		return nil
	})
	if err == nil && ready[1] != "" {
		p.url = ready[1]
	}
	return err
}

// exitError is what ended the process, which must not be nothing.
func (p *process) exitError() error {
	if p.err == nil {
		return errors.New("without an error")
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

// kill ends the process without a chance to clean up.
func (p *process) kill() error {
	if err := p.signal(syscall.SIGKILL); err != nil {
		return err
	}
	<-p.done
	return nil
}

// exited waits for a graceful end and tells whether it was one.
func (p *process) exited() error {
	select {
	case <-p.done:
	case <-time.After(patience):
		return fmt.Errorf("%s does not end\n%s", p.name, p.tail())
	}
	if p.err != nil {
		return fmt.Errorf("%s: %w\n%s", p.name, p.err, p.tail())
	}
	return nil
}

// tail is the end of the process's log.
func (p *process) tail() string {
	const lines = 15
	text, _ := os.ReadFile(p.log)
	all := strings.Split(strings.TrimSpace(string(text)), "\n")
	return p.name + ": " + strings.Join(all[max(0, len(all)-lines):], "\n"+p.name+": ")
}

const (
	// patience bounds the wait for something that must come.
	patience = 30 * time.Second
	pollGap  = 10 * time.Millisecond
)

// final is an error that no waiting mends.
type final struct{ error }

// poll calls check until it succeeds or the patience ends.
func poll(check func() error) error {
	deadline := time.Now().Add(patience)
	for {
		err := check()
		var end final
		if err == nil || errors.As(err, &end) || time.Now().After(deadline) {
			return err
		}
		time.Sleep(pollGap)
	}
}
