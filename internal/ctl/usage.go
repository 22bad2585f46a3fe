package ctl

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"text/tabwriter"
	"time"

	"github.com/rotisserie/eris"
	"github.com/spf13/cobra"

	"github.com/jayproxy/jayproxy/internal/responselimit"
)

// usageTimeout bounds the call to one gateway.
const usageTimeout = 5 * time.Second

// maxUsageBytes bounds a gateway's answer.
const maxUsageBytes = 16 << 20

// cappedUsage is a workspace's usage as a gateway reports it, in the unit of its cap.
type cappedUsage struct {
	Workspace    string  `json:"workspace"`
	Unit         string  `json:"unit"`
	CapPerSecond float64 `json:"cap_per_second"`
	Burst        float64 `json:"burst"`
	UsedHere     int64   `json:"used_here"`
	LentHere     int64   `json:"lent_here"`
	UsedByAll    int64   `json:"used_by_all"`
	AgeMS        int64   `json:"age_ms"`
	Lender       string  `json:"lender"`
	Isolated     bool    `json:"isolated"`
}

func (a *app) usage() *cobra.Command {
	return &cobra.Command{
		Use:   "usage GATEWAY...",
		Short: "Show the usage caps of workspaces as jay-gateway processes know them, by their control addresses",
		Args:  cobra.MinimumNArgs(1),
		RunE: func(cmd *cobra.Command, args []string) error {
			for _, address := range args {
				if err := a.showUsage(cmd.Context(), address); err != nil {
					return err
				}
			}
			return nil
		},
	}
}

func (a *app) showUsage(ctx context.Context, address string) error {
	body, err := fetchUsage(ctx, address)
	if err != nil {
		return err
	}
	if a.output == outputJSON {
		_, err = fmt.Fprintln(a.out, string(body))
		return err
	}
	var all []cappedUsage
	if err := json.Unmarshal(body, &all); err != nil {
		return eris.Wrapf(err, "decode the answer of gateway %s", address)
	}
	w := tabwriter.NewWriter(a.out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "GATEWAY\tWORKSPACE\tUNIT\tCAP/S\tBURST\tUSED HERE\tLENT HERE\tUSED BY ALL\tAGE MS\tLENDER")
	for _, u := range all {
		lender := u.Lender
		if u.Isolated {
			lender += " (does not answer)"
		}
		fmt.Fprintf(w, "%s\t%s\t%s\t%.0f\t%.0f\t%d\t%d\t%d\t%d\t%s\n", address, u.Workspace, u.Unit, u.CapPerSecond, u.Burst, u.UsedHere, u.LentHere, u.UsedByAll, u.AgeMS, lender)
	}
	return w.Flush()
}

func fetchUsage(ctx context.Context, address string) ([]byte, error) {
	ctx, cancel := context.WithTimeout(ctx, usageTimeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+"/v1/usage", nil)
	if err != nil {
		return nil, usageError(eris.Wrapf(err, "address %q", address))
	}
	client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: responselimit.MaxHeadBytes}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return nil, eris.Wrapf(err, "ask gateway %s", address)
	}
	defer func() { _ = response.Body.Close() }()
	if response.StatusCode != http.StatusOK {
		return nil, eris.Errorf("gateway %s: unexpected HTTP status %d", address, response.StatusCode)
	}
	return responselimit.ReadAll(response.Body, maxUsageBytes)
}
