package standin

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/url"

	"github.com/rotisserie/eris"
)

// maxFaultBody bounds the body of a request to /faults, in bytes.
const maxFaultBody = 1 << 20

// MergeFaults sets the fields of target, a pointer to a struct with json tags,
// that a request to /faults names in its query or its JSON body. A query value
// that is not valid JSON is taken as a string. Unknown names are errors, so that
// a test cannot set a fault that does not exist.
func MergeFaults(r *http.Request, target any) error {
	body, err := io.ReadAll(io.LimitReader(r.Body, maxFaultBody))
	if err != nil {
		return eris.Wrap(err, "read faults")
	}
	if len(body) > 0 {
		if err := decodeStrict(body, target); err != nil {
			return err
		}
	}
	if len(r.URL.Query()) == 0 {
		return nil
	}
	encoded, err := json.Marshal(queryValues(r.URL.Query()))
	if err != nil {
		return eris.Wrap(err, "encode faults from query")
	}
	return decodeStrict(encoded, target)
}

func queryValues(query url.Values) map[string]json.RawMessage {
	values := make(map[string]json.RawMessage, len(query))
	for name, all := range query {
		raw := json.RawMessage(all[0])
		if !json.Valid(raw) {
			raw, _ = json.Marshal(all[0])
		}
		values[name] = raw
	}
	return values
}

func decodeStrict(body []byte, target any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	return eris.Wrap(decoder.Decode(target), "decode faults")
}
