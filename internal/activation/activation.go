// Package activation implements socket activation: it returns listening sockets
// inherited from a supervisor such as systemd.
//
// Because the supervisor keeps the socket open while the process restarts,
// connections wait in the socket's accept queue and are not refused.
package activation

import (
	"net"

	"github.com/coreos/go-systemd/v22/activation"
	"github.com/rotisserie/eris"
)

// Listener returns the inherited socket with the name, nil if the process inherits
// no sockets. Any other socket, or more than one, is an error. Listener may be
// called only once per process, because it clears the environment variables that
// describe the sockets.
func Listener(name string) (net.Listener, error) {
	named, err := activation.ListenersWithNames()
	if err != nil {
		return nil, eris.Wrap(err, "read the sockets inherited from the supervisor")
	}
	if len(named) == 0 {
		return nil, nil
	}
	if len(named) != 1 || len(named[name]) != 1 {
		// Connections to a socket on which no process accepts would never be
		// answered.
		return nil, eris.Errorf("the supervisor passes sockets %v, want exactly one with the name %q", names(named), name)
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
