// Package activation takes over listening sockets that a supervisor holds open
// (systemd's socket units and what speaks their protocol). It opens none itself.
//
// A supervisor that keeps a process's socket keeps its callers as well: while
// the process is stopped, killed or started again, connections wait in the
// socket's queue in place of being refused.
package activation

import (
	"net"

	"github.com/coreos/go-systemd/v22/activation"
	"github.com/rotisserie/eris"
)

// Listener returns the socket that the supervisor named so, nil when it handed
// over none of the name. It may be called once for each process: the names of
// all sockets are read and forgotten.
func Listener(name string) (net.Listener, error) {
	named, err := activation.ListenersWithNames()
	if err != nil {
		return nil, eris.Wrap(err, "take over the supervisor's sockets")
	}
	if len(named) == 0 {
		return nil, nil
	}
	if len(named) != 1 || len(named[name]) != 1 {
		// A socket that nobody accepts from would hold its callers for ever.
		return nil, eris.Errorf("the supervisor hands over sockets %v, want one with the name %q", names(named), name)
	}
	return named[name][0], nil
}

func names(named map[string][]net.Listener) []string {
	var all []string
	for name, listeners := range named {
		for range listeners {
			all = append(all, name)
		}
	}
	return all
}
