package scenario_test

import (
	"errors"
	"fmt"
	"net/http"
	"os"
	"strings"
	"sync"
	"syscall"
	"time"
)

// watch records when the number of runs at a stand-in last increased.
type watch struct {
	stop    chan struct{}
	stopped chan struct{}
	once    sync.Once
	last    time.Time
}

// end stops the watch; last may be read afterwards.
func (v *watch) end() {
	v.once.Do(func() { close(v.stop) })
	<-v.stopped
}

func (w *scenario) cmdWatch(args []string) error {
	if err := requireArgs(args, 1); err != nil {
		return err
	}
	v := &watch{stop: make(chan struct{}), stopped: make(chan struct{})}
	w.watches[args[0]] = v
	url := w.processes[args[0]].url
	go func() {
		defer close(v.stopped)
		ticker := time.NewTicker(pollInterval)
		defer ticker.Stop()
		before := 0
		for {
			select {
			case <-v.stop:
				return
			case <-ticker.C:
			}
			counts, err := runsAt(url)
			if err == nil && len(counts) != before {
				before, v.last = len(counts), time.Now()
			}
		}
	}()
	return nil
}

func (w *scenario) cmdQuiet(args []string) error {
	if err := requireArgs(args, 3); err != nil {
		return err
	}
	v, ok := w.watches[args[0]]
	bound, err := time.ParseDuration(args[2])
	if !ok || err != nil {
		return fmt.Errorf("no watch on %s, or invalid duration: %w", args[0], err)
	}
	v.end()
	if v.last.IsZero() {
		return errors.New("the stand-in ran nothing while it was watched")
	}
	if late := v.last.Sub(w.moments[args[1]]); late > bound {
		return fmt.Errorf("a run began %v after the mark, too late", late)
	}
	return nil
}

func (w *scenario) cmdBusy(args []string) error {
	if err := requireArgs(args, 1); err != nil {
		return err
	}
	before, err := w.runsOf(args[0], "*")
	if err != nil {
		return err
	}
	return poll(func() error {
		now, err := w.runsOf(args[0], "*")
		if err == nil && now == before {
			err = fmt.Errorf("no further run began after the first %d", before)
		}
		return err
	})
}

func (w *scenario) cmdMark(args []string) error {
	if err := requireArgs(args, 1); err != nil {
		return err
	}
	w.moments[args[0]] = time.Now()
	return nil
}

func (w *scenario) cmdSince(args []string) error {
	if err := requireArgs(args, 2); err != nil {
		return err
	}
	bound, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	if took := time.Since(w.moments[args[0]]); took > bound {
		return fmt.Errorf("%v have passed since the mark", took)
	}
	return nil
}

func (w *scenario) cmdLogged(args []string) error {
	if err := requireArgs(args, 2); err != nil {
		return err
	}
	p, ok := w.processes[args[0]]
	if !ok {
		return fmt.Errorf("unknown process %s", args[0])
	}
	return poll(func() error {
		text, err := os.ReadFile(p.log)
		if err == nil && strings.Contains(string(text), args[1]) {
			return nil
		}
		return fmt.Errorf("text not found in the log: %s", p.tail())
	})
}

func (w *scenario) cmdReady(args []string) error {
	if err := requireArgs(args, 2); err != nil {
		return err
	}
	bound, err := time.ParseDuration(args[1])
	if err != nil {
		return err
	}
	started := time.Now()
	err = poll(func() error {
		response, err := http.Get("http://" + w.addresses[args[0]].admin + "/readyz")
		if err != nil {
			return err
		}
		defer response.Body.Close()
		if response.StatusCode != http.StatusOK {
			return fmt.Errorf("not ready: %s", w.processes[args[0]].tail())
		}
		return nil
	})
	if took := time.Since(started); err == nil && took > bound {
		return fmt.Errorf("ready only after %v", took)
	}
	return err
}

func (w *scenario) cmdLoadMore(args []string) error {
	if err := requireArgs(args, 2); err != nil {
		return err
	}
	l, ok := w.loads[args[0]]
	if !ok {
		return fmt.Errorf("unknown load %s", args[0])
	}
	var n int64
	if _, err := fmt.Sscan(args[1], &n); err != nil {
		return err
	}
	until := l.sent.Load() + n
	return poll(func() error {
		if sent := l.sent.Load(); sent < until {
			return fmt.Errorf("%d requests sent, want %d", sent, until)
		}
		return nil
	})
}

// cmdFreezeServing freezes the agent of the only engine that has run a request. It fails
// if no engine or several engines have.
func (w *scenario) cmdFreezeServing([]string) error {
	for name := range w.processes {
		number, isEngine := strings.CutPrefix(name, "engine")
		if !isEngine {
			continue
		}
		n, err := w.runsOf(name, "*")
		if err != nil {
			return err
		}
		if n > 0 && w.frozen != "" {
			return errors.New("more than one engine has run a request")
		}
		if n > 0 {
			w.frozen = "agent" + number
		}
	}
	if w.frozen == "" {
		return errors.New("no engine has run a request")
	}
	return w.processes[w.frozen].signal(syscall.SIGSTOP)
}

func (w *scenario) cmdThawServing([]string) error {
	return w.processes[w.frozen].signal(syscall.SIGCONT)
}
