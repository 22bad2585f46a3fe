package entry

import (
	"strconv"

	jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"
	"github.com/jayproxy/jayproxy/internal/control"
)

// startRollouts starts the control service, which performs this entry's share of
// rollouts.
func (e *Entry) startRollouts() error {
	service, err := control.Start(e.ctx, control.Options{
		Name: e.settings.Name, Incarnation: strconv.FormatInt(e.started.UnixNano(), 36),
		Settings: e.settings.Control, Node: e.node, Holder: e.holder, Table: e.platform,
		Candidates: e.spread.Candidates,
	})
	if err != nil {
		return err
	}
	e.rollouts.Store(service)
	return nil
}

// addLeases adds the leases that the entry holds to its status.
func (e *Entry) addLeases(status *jayv1.ProcessStatus) {
	if service := e.rollouts.Load(); service != nil {
		status.Leases = service.Leases()
	}
}

// stopRollouts stops the control service and releases its leases.
func (e *Entry) stopRollouts() {
	if service := e.rollouts.Load(); service != nil {
		service.Close()
	}
}
