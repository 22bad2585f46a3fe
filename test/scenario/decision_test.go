package scenario_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// decision is a routing decision as an entry's debug page reports it.
type decision struct {
	Candidates []struct {
		BackendServer string `json:"backendServer"`
		// Filtered is the reason why the server was excluded; empty if it was not.
		Filtered string `json:"filtered"`
	} `json:"candidates"`
}

// latestDecisions returns the last n decisions from the debug page at an admin
// address, one per line, or the text of the error.
func latestDecisions(admin string, n int) string {
	client := &http.Client{Timeout: time.Second}
	response, err := client.Get(fmt.Sprintf("http://%s/debug/decisions?n=%d", admin, n))
	if err != nil {
		return err.Error()
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(response.Body)
	return string(text)
}

// cmdConsidered waits until a backend server is a candidate of an entry's latest
// decision. It need not be chosen, since the choice depends on load.
func (w *scenario) cmdConsidered(args []string) error {
	if err := requireArgs(args, 2); err != nil {
		return err
	}
	return poll(func() error {
		text := latestDecisions(w.addresses[args[0]].admin, 1)
		var latest decision
		if err := json.Unmarshal([]byte(text), &latest); err != nil {
			return fmt.Errorf("%w: %s", err, text)
		}
		for _, candidate := range latest.Candidates {
			if candidate.BackendServer == args[1] && candidate.Filtered == "" {
				return nil
			}
		}
		return fmt.Errorf("the backend server is not a candidate: %s", text)
	})
}
