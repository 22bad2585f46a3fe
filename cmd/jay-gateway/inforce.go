package main

import (
	"context"
	"encoding/json"
	"net/http"
	"net/netip"
	"net/url"
	"os"
	"time"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/exitcode"
	"github.com/jayproxy/jayproxy/internal/mirror"
	"github.com/jayproxy/jayproxy/internal/responselimit"
	"github.com/jayproxy/jayproxy/platform"
)

const (
	// readTimeout bounds the read of the configuration in force.
	readTimeout = 10 * time.Second
	// maxTableBytes bounds the operator's table as an entry sends it.
	maxTableBytes = 8 << 20
)

// source says where the configuration to compare with is read; at most one field is set.
type source struct {
	file  string
	store string
	entry string
}

// String returns the source as it is named in output.
func (s source) String() string {
	switch {
	case s.store != "":
		return "store " + s.store
	case s.entry != "":
		return "entry " + s.entry
	}
	return s.file
}

func (s source) check() error {
	set := 0
	for _, value := range []string{s.file, s.store, s.entry} {
		if value != "" {
			set++
		}
	}
	if set > 1 {
		return eris.New("only one of --against, --against-store and --against-entry can be given")
	}
	for flag, address := range map[string]string{"--against-store": s.store, "--against-entry": s.entry} {
		if _, err := netip.ParseAddrPort(address); address != "" && err != nil {
			return eris.Errorf("%s %q is not an address IP:port", flag, address)
		}
	}
	return nil
}

// read returns the configuration to compare with, nil for none. A store without a
// configuration is compared with as an empty one.
func (s source) read(ctx context.Context) (*platform.Config, error) {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	switch {
	case s.file != "":
		text, err := os.ReadFile(s.file)
		if err != nil {
			return nil, exitcode.UsageError(err)
		}
		return platform.ReadConfig(s.file, text), nil
	case s.store != "":
		batch, err := platform.NewStore(s.store).Snapshot(ctx, platform.OperatorTable)
		if err != nil {
			return nil, &exitcode.Error{Code: exitcode.Unreachable, Cause: eris.Wrapf(err, "read the configuration from %s", s)}
		}
		if config := s.configIn(batch); config != nil {
			return config, nil
		}
		return platform.ReadConfig(s.String(), []byte("{}")), nil
	case s.entry != "":
		batch, err := readEntry(ctx, s.entry)
		if err != nil {
			return nil, err
		}
		if config := s.configIn(batch); config != nil {
			return config, nil
		}
		return nil, &exitcode.Error{Code: exitcode.Refused, Cause: eris.Errorf("%s has no configuration yet", s)}
	}
	return nil, nil
}

// configIn returns the configuration in the rows of the operator's table, nil if there is
// none.
func (s source) configIn(batch mirror.Batch) *platform.Config {
	for _, row := range batch.Rows {
		if platform.IsConfig(row.Key) && !row.Removed {
			return platform.ReadConfig(s.String(), row.Value)
		}
	}
	return nil
}

// readEntry reads the operator's table from the control address of an entry.
func readEntry(ctx context.Context, address string) (mirror.Batch, error) {
	unreachable := func(err error) error {
		return &exitcode.Error{Code: exitcode.Unreachable, Cause: eris.Wrapf(err, "read the configuration from entry %s", address)}
	}
	path := "http://" + address + "/v1/tables/" + url.PathEscape(platform.OperatorTable) + "?eras=1&after=0"
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, path, nil)
	if err != nil {
		return mirror.Batch{}, exitcode.UsageError(err)
	}
	client := &http.Client{Transport: &http.Transport{MaxResponseHeaderBytes: responselimit.MaxHeadBytes}}
	defer client.CloseIdleConnections()
	response, err := client.Do(request)
	if err != nil {
		return mirror.Batch{}, unreachable(err)
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return mirror.Batch{}, &exitcode.Error{Code: exitcode.Refused, Cause: eris.Errorf("entry %s: unexpected HTTP status %d", address, response.StatusCode)}
	}
	var batch mirror.Batch
	if err := json.NewDecoder(responselimit.Reader(response.Body, maxTableBytes)).Decode(&batch); err != nil {
		return mirror.Batch{}, unreachable(err)
	}
	return batch, nil
}
