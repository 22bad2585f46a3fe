package scenario_test

import (
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"time"
)

// decision is what an entry's debug page tells of a choice.
type decision struct {
	Candidates []struct {
		BackendServer string `json:"backendServer"`
		// Filtered is why the server was taken out.
		Filtered string `json:"filtered"`
	} `json:"candidates"`
}

// latestDecisions reads the page at an admin address, one decision a line.
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

// cmdConsidered waits until a backend server is one that an entry may choose,
// chosen or not: which one is cheapest now is no matter of a promise.
func (w *world) cmdConsidered(args []string) error {
	if err := need(args, 2); err != nil {
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
		return fmt.Errorf("no candidate: %s", text)
	})
}
