package dialect

import (
	"bytes"
	"math"
	"strconv"
	"strings"

	"github.com/rotisserie/eris"

	"github.com/jayproxy/jayproxy/internal/engine"
)

// picaLine is one line of a report: name{label="value"} number.
type picaLine struct {
	name  string
	label string
	value string
}

// decodePicaState decodes a state report. Unknown names are skipped, so that
// reports of newer engines can be decoded.
func decodePicaState(body []byte) (engine.State, error) {
	var state engine.State
	ratio, seen := 0.0, false
	for line := range bytes.Lines(body) {
		text := strings.TrimSpace(string(line))
		if text == "" || text[0] == '#' {
			continue
		}
		parsed, err := parsePicaLine(text)
		if err != nil {
			return state, err
		}
		seen = seen || parsed.name == "pica_boot"
		if err := applyPicaLine(&state, &ratio, parsed); err != nil {
			return state, err
		}
	}
	if !seen {
		return state, eris.Wrap(ErrMalformed, "state report without pica_boot")
	}
	state.CachedBlocks = int(math.Round(ratio * float64(state.CapacityBlocks)))
	return state, nil
}

func applyPicaLine(state *engine.State, ratio *float64, line picaLine) error {
	var err error
	switch line.name {
	case "pica_boot":
		state.Incarnation, err = strconv.ParseUint(line.value, 10, 64)
	case "pica_requests":
		var n int
		n, err = parseCount(line.value)
		if line.label == "active" {
			state.Running = n
		} else {
			state.Waiting = n
		}
	case "pica_kv_usage_ratio":
		*ratio, err = strconv.ParseFloat(line.value, 64)
		if err == nil && !(*ratio >= 0 && *ratio <= 1) {
			err = eris.New("ratio is not between 0 and 1")
		}
	case "pica_kv_blocks":
		state.CapacityBlocks, err = parseCount(line.value)
	case "pica_kv_block_tokens":
		state.BlockTokens, err = parseCount(line.value)
	case "pica_weights":
		state.Versions = append(state.Versions, line.label)
	case "pica_lora":
		state.Adapters = append(state.Adapters, line.label)
	case "pica_role":
		state.Role = line.label
	}
	if err != nil {
		return malformed(line.name, err)
	}
	return nil
}

func parseCount(text string) (int, error) {
	n, err := strconv.ParseUint(text, 10, 31)
	return int(n), err
}

func parsePicaLine(text string) (picaLine, error) {
	separator := strings.LastIndexByte(text, ' ')
	if separator < 0 {
		return picaLine{}, eris.Wrapf(ErrMalformed, "report line %q", text)
	}
	line := picaLine{name: strings.TrimSpace(text[:separator]), value: text[separator+1:]}
	name, labels, labelled := strings.Cut(line.name, "{")
	if !labelled {
		return line, nil
	}
	_, quoted, ok := strings.Cut(strings.TrimSuffix(labels, "}"), "=")
	label, err := strconv.Unquote(quoted)
	if !ok || err != nil {
		return picaLine{}, eris.Wrapf(ErrMalformed, "report line %q", text)
	}
	line.name, line.label = name, label
	return line, nil
}
