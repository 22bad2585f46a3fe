package agent

import (
	"time"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/engine"
	"github.com/jayproxy/jayproxy/internal/spread"
)

// Settings of an agent. Times are integers in milliseconds, so that a settings
// file needs no duration syntax.
type Settings struct {
	Name       string `toml:"name" validate:"required" unit:"" doc:"Name of the backend server, as declared in the catalog and in the agent's certificate."`
	Listen     string `toml:"listen" validate:"required,ip_port" unit:"ip:port" doc:"Address for the other processes (QUIC over UDP)."`
	Admin      string `toml:"admin" validate:"required,ip_port" unit:"ip:port" doc:"Address for liveness, readiness, metrics and the debug page (HTTP)."`
	Keys       string `toml:"keys" validate:"required" unit:"folder" doc:"Folder with ca.pem, cert.pem and key.pem; read again while running."`
	Platform   string `toml:"platform" validate:"omitempty,url" unit:"URL" doc:"The platform's service. Without it, orders pass only to engines that check fencing themselves."`
	DataCentre string `toml:"data_centre" unit:"" doc:"Data centre of this VM."`
	Region     string `toml:"region" unit:"" doc:"Region of this VM."`

	Engine  EngineSettings  `toml:"engine"`
	Service ServiceSettings `toml:"service"`
	Queue   QueueSettings   `toml:"queue"`
	Replay  ReplaySettings  `toml:"replay"`

	DrainMS     int `toml:"drain_ms" validate:"min=0" unit:"ms" doc:"How long a graceful shutdown waits for running work."`
	KeyReloadMS int `toml:"key_reload_ms" validate:"min=100" unit:"ms" doc:"How often the keys folder is read again."`

	// Spread configures the distribution of the catalog between processes.
	Spread spread.Settings `toml:"spread"`

	// Catalog holds the catalog in force; nil starts with an empty one.
	Catalog *catalog.Holder `toml:"-" validate:"-"`
	// OpenEngine opens an engine client by vendor. Required with Engine.URL.
	OpenEngine func(vendor, baseURL string) (engine.Engine, error) `toml:"-" validate:"-"`
}

// EngineSettings configure the model engine beside the agent.
type EngineSettings struct {
	Vendor string `toml:"vendor" validate:"required_with=URL" unit:"" doc:"Dialect of the model engine: merle or pica."`
	URL    string `toml:"url" validate:"omitempty,url" unit:"URL" doc:"Base URL of the model engine; empty when the agent stands beside a plain service."`
	KVURL  string `toml:"kv_url" validate:"omitempty,url" unit:"URL" doc:"Base URL of the store of kept KV cache near the engine; used for pools that declare a kv_service. Empty: KV cache is neither kept nor fetched."`
	PollMS int    `toml:"poll_ms" validate:"min=10" unit:"ms" doc:"How often the engine's state is read."`
}

// ServiceSettings configure the plain service beside the agent.
type ServiceSettings struct {
	Name string `toml:"name" validate:"required_with=URL" unit:"" doc:"Name of the plain service, as declared in the catalog."`
	URL  string `toml:"url" validate:"omitempty,url" unit:"URL" doc:"Base URL of the plain service; empty when the agent stands beside a model engine."`
}

// QueueSettings bound what the agent accepts. The catalog's concurrency and
// queue length take precedence over Slots and Length.
type QueueSettings struct {
	Slots        int     `toml:"slots" validate:"min=1" unit:"requests" doc:"Requests that run at once, unless the catalog says otherwise."`
	Length       int     `toml:"length" validate:"min=1" unit:"requests" doc:"Requests that may wait, unless the catalog says otherwise."`
	Bytes        int     `toml:"bytes" validate:"min=1024" unit:"bytes" doc:"Bodies that requests may hold together."`
	BodyBytes    int     `toml:"body_bytes" validate:"min=1" unit:"bytes" doc:"Largest body of one request."`
	BodyMS       int     `toml:"body_ms" validate:"min=1" unit:"ms" doc:"How long an accepted request may take to send its body."`
	Floor        float64 `toml:"floor" validate:"gt=0,lt=0.5" unit:"share" doc:"Share of the work that each lower class gets at least."`
	PrefillGuess float64 `toml:"prefill_tokens_per_second" validate:"min=0" unit:"tokens/s" doc:"Prefill rate assumed until it was measured; 0: none."`
}

// ReplaySettings bound the buffered responses for readers that are slow or have
// lost their stream.
type ReplaySettings struct {
	Bytes      int `toml:"bytes" validate:"min=1024" unit:"bytes" doc:"Answer kept for resume, for each request."`
	TotalBytes int `toml:"total_bytes" validate:"min=1024" unit:"bytes" doc:"Ended answers kept for readers that lost their link, together."`
	RetainMS   int `toml:"retain_ms" validate:"min=1" unit:"ms" doc:"How long a complete answer is kept after its reader last attached or took a part of it. Its memory is bounded by replay.total_bytes."`
	AbandonMS  int `toml:"abandon_ms" validate:"min=1" unit:"ms" doc:"How long a request runs on without a reader before it is canceled, and how long an agent that shuts down waits for the reader of a complete answer."`
	StallMS    int `toml:"stall_ms" validate:"min=1" unit:"ms" doc:"How long a full buffer holds the engine's stream back before the answer ends in an error."`
}

// Default returns the settings used for keys that a settings file omits.
func Default() Settings {
	return Settings{
		Listen: "127.0.0.1:0",
		Admin:  "127.0.0.1:0",
		Engine: EngineSettings{PollMS: 200},
		Queue: QueueSettings{
			Slots: 8, Length: 64, Bytes: 64 << 20, BodyBytes: 8 << 20, BodyMS: 10_000,
			Floor: 0.1, PrefillGuess: 8000,
		},
		Replay:      ReplaySettings{Bytes: 1 << 20, TotalBytes: 32 << 20, RetainMS: 300_000, AbandonMS: 30_000, StallMS: 10_000},
		Spread:      spread.DefaultSettings(),
		DrainMS:     60_000,
		KeyReloadMS: 5_000,
	}
}

func millis(ms int) time.Duration { return time.Duration(ms) * time.Millisecond }
