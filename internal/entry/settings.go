package entry

import (
	"net"
	"time"

	"github.com/jayproxy/jayproxy/internal/catalog"
	"github.com/jayproxy/jayproxy/internal/control"
	"github.com/jayproxy/jayproxy/internal/platform"
	"github.com/jayproxy/jayproxy/internal/relay"
	"github.com/jayproxy/jayproxy/internal/spread"
)

// Settings of an entry. Addresses are IP:port; port 0 selects a free port.
type Settings struct {
	Name       string `toml:"name" doc:"Name of the process; empty takes the name in the certificate. Request ids carry it."`
	DataCentre string `toml:"data_centre" validate:"required" doc:"Data centre that the VM stands in."`
	Region     string `toml:"region" doc:"Region of the data centre."`

	CallersAddress   string `toml:"callers" validate:"required,ip_port" doc:"Address of the callers' HTTP API."`
	OperatorsAddress string `toml:"operators" validate:"required,ip_port" doc:"Address of the operators' remote procedure calls (mutual TLS)."`
	AdminAddress     string `toml:"admin" validate:"required,ip_port" doc:"Address of liveness, readiness, metrics and debug pages."`
	Address          string `toml:"listen" validate:"required,ip_port" doc:"Address of the QUIC listener for the system's own processes."`

	KeysDir     string `toml:"keys" validate:"required" doc:"Folder with ca.pem, cert.pem and key.pem; read again while running."`
	PlatformURL string `toml:"platform" validate:"omitempty,url" doc:"Base URL of the platform."`
	Policy      string `toml:"policy" doc:"Routing policy; empty takes the default."`
	// CrossDataCentreMSPerMB is the price of traffic between data centres.
	CrossDataCentreMSPerMB float64 `toml:"cross_data_centre_ms_per_mb" validate:"gte=0,lte=1e12" unit:"ms" doc:"Extra latency that keeping one MB (a million bytes) in its data centre is worth; 0: traffic between data centres costs nothing."`
	MaxLabels              int     `toml:"max_labels" validate:"gt=0" doc:"Workspaces and classes that metrics keep apart; others flow together."`

	Limits   LimitSettings   `toml:"limits"`
	Timeouts TimeoutSettings `toml:"timeouts"`
	Attempts AttemptSettings `toml:"attempts"`
	Ledger   LedgerSettings  `toml:"ledger"`

	Seeds []string `toml:"seeds" validate:"dive,ip_port" doc:"QUIC addresses of entries and agents to ask for the catalog while no other process is known, or none that knows it. Name some agents: they are all that is left when every entry is replaced while the platform is down."`
	// Spread configures the distribution of the catalog between processes.
	Spread spread.Settings `toml:"spread"`
	// Control configures the entry's share of rollouts.
	Control control.Settings `toml:"control"`

	// CallersListener replaces the listener of CallersAddress: a socket that a
	// supervisor keeps open across restarts of the process. nil: the entry opens
	// its own.
	CallersListener net.Listener `toml:"-"`
	// Holder holds the catalog to serve; nil: the entry creates an empty one.
	Holder *catalog.Holder `toml:"-"`
	// Platform replaces the client of PlatformURL, e.g. in tests.
	Platform platform.Platform `toml:"-"`
}

// LimitSettings are the limits on callers' requests at one entry.
type LimitSettings struct {
	BodyBytes           int64 `toml:"body_bytes" validate:"gt=0" unit:"bytes" doc:"Longest request body."`
	AnswerBytes         int64 `toml:"answer_bytes" validate:"gt=0" unit:"bytes" doc:"Longest answer that is not streamed; it is held whole until it is complete."`
	HeaderBytes         int   `toml:"header_bytes" validate:"gt=0" unit:"bytes" doc:"All request headers together."`
	PromptBytes         int   `toml:"prompt_bytes" validate:"gt=0" unit:"bytes" doc:"Longest prompt after rendering."`
	KeptBodyBytes       int   `toml:"kept_body_bytes" validate:"gt=0" unit:"bytes" doc:"Part of a service call's body that is kept for a further attempt."`
	Streams             int   `toml:"streams" validate:"gt=0" unit:"requests" doc:"Requests under way at once."`
	StreamsPerWorkspace int   `toml:"streams_per_workspace" validate:"gt=0" unit:"requests" doc:"Requests of one workspace under way at once."`
	WarmupRequests      int   `toml:"warmup_requests" validate:"gt=0" unit:"requests" doc:"Requests that wait at once for the first configuration of an entry that just started; others are refused."`
	CallerSendBytes     int   `toml:"caller_send_bytes" validate:"gte=4096" unit:"bytes" doc:"Kernel send buffer of a caller's connection: what a caller that does not read is handed before its writes block. The kernel may double it."`
	KeyBytes            int   `toml:"key_bytes" validate:"gt=0,lte=512" unit:"bytes" doc:"Longest idempotency key."`
}

// TimeoutSettings are the timeouts of an entry, in milliseconds.
type TimeoutSettings struct {
	DeadlineMS    int `toml:"deadline_ms" validate:"gt=0" unit:"ms" doc:"Time to the first token after which a request is given up, when no rule says otherwise."`
	OfferMS       int `toml:"offer_ms" validate:"gt=0" unit:"ms" doc:"Wait for an agent's answer to an offer."`
	StreamIdleMS  int `toml:"stream_idle_ms" validate:"gt=0" unit:"ms" doc:"Silence of a running stream after which it is given up."`
	CallerWriteMS int `toml:"caller_write_ms" validate:"gt=0" unit:"ms" doc:"A caller that takes no byte for this long is cut off."`
	CallerReadMS  int `toml:"caller_read_ms" validate:"gt=0" unit:"ms" doc:"A caller that sends no byte of its body for this long is cut off."`
	GraceMS       int `toml:"grace_ms" validate:"gte=0" unit:"ms" doc:"Time between not ready and closed listener at a stop, for the balancer."`
	WarmupMS      int `toml:"warmup_ms" validate:"gt=0" unit:"ms" doc:"How long a request waits for the first configuration of an entry that just started; then it is refused as not run."`
	KeysReloadMS  int `toml:"keys_reload_ms" validate:"gt=0" unit:"ms" doc:"Interval of reading the keys folder again."`
}

// AttemptSettings limit the attempts of a request.
type AttemptSettings struct {
	Max            int     `toml:"max" validate:"gt=0" unit:"attempts" doc:"Attempts of a request, declined offers included."`
	MaxDeclines    int     `toml:"max_declines" validate:"gte=0" unit:"offers" doc:"Offers that agents may decline for cost before one is final."`
	RetryShare     float64 `toml:"retry_share" validate:"gte=0,lte=1" doc:"Retries of started work as a share of successes."`
	RetryBurst     float64 `toml:"retry_burst" validate:"gte=0" unit:"retries" doc:"Most retries of started work that can be saved up."`
	ResumeTries    int     `toml:"resume_tries" validate:"gte=0" unit:"tries" doc:"Connections tried to resume a stream whose link was lost."`
	ResumeWaitMS   int     `toml:"resume_wait_ms" validate:"gt=0" unit:"ms" doc:"Wait before the second try to resume; doubles with each."`
	ResumeWindowMS int     `toml:"resume_window_ms" validate:"gt=0" unit:"ms" doc:"Time after a lost link in which a stream is resumed."`
	AckChunks      int     `toml:"ack_chunks" validate:"gt=0" unit:"chunks" doc:"Chunks passed on between two acknowledgements to the agent."`
	AckBytes       int     `toml:"ack_bytes" validate:"gt=0" unit:"bytes" doc:"Bytes passed on between two acknowledgements to the agent, if they come before ack_chunks."`
	ResumeChunks   int     `toml:"resume_chunks" validate:"gte=0" unit:"chunks" doc:"Chunks of a stream that stay unacknowledged behind the last one passed on, for a caller that lost its connection and resumes."`
	ResumeBytes    int     `toml:"resume_bytes" validate:"gte=0" unit:"bytes" doc:"Bytes of a stream that stay unacknowledged, if they come before resume_chunks. With ack_bytes it must be well below the agents' replay.bytes: chunks that are not acknowledged fill that buffer, and a full one holds the engine back."`
}

// acks returns the limits of the acknowledgements of a response. Only streams can be resumed by
// their callers.
func (s AttemptSettings) acks(stream bool) relay.AckLimits {
	limits := relay.AckLimits{EveryChunks: s.AckChunks, EveryBytes: s.AckBytes}
	if stream {
		limits.HeldChunks, limits.HeldBytes = s.ResumeChunks, s.ResumeBytes
	}
	return limits
}

// LedgerSettings configure the claims of calls that may run at most once.
type LedgerSettings struct {
	WindowMS int `toml:"window_ms" validate:"gt=0" unit:"ms" doc:"Wait for further claims before a transaction is sent."`
	InFlight int `toml:"in_flight" validate:"gt=0" unit:"transactions" doc:"Transactions under way at once."`
	SettleMS int `toml:"settle_ms" validate:"gt=0" unit:"ms" doc:"Time to take a claim, including the settling of lost answers; then the call is refused as not run."`
	KeepDays int `toml:"keep_days" validate:"gte=1" unit:"days" doc:"How long a claim stands. A key that is repeated later runs again."`
	TrimMS   int `toml:"trim_ms" validate:"gte=100" unit:"ms" doc:"Time between two pages of 500 claims that are looked over for old ones, by one entry of all."`
}

// Default returns the default settings, which a settings file overrides.
func Default() Settings {
	return Settings{
		CallersAddress: "127.0.0.1:0", OperatorsAddress: "127.0.0.1:0",
		AdminAddress: "127.0.0.1:0", Address: "127.0.0.1:0",
		MaxLabels: 512,
		Limits: LimitSettings{
			BodyBytes: 8 << 20, AnswerBytes: 8 << 20, HeaderBytes: 32 << 10, PromptBytes: 4 << 20,
			KeptBodyBytes: 1 << 20, Streams: 20000, StreamsPerWorkspace: 5000, WarmupRequests: 1000,
			CallerSendBytes: 128 << 10, KeyBytes: 200,
		},
		Timeouts: TimeoutSettings{
			DeadlineMS: 60000, OfferMS: 3000, StreamIdleMS: 60000, CallerWriteMS: 20000, CallerReadMS: 20000,
			GraceMS: 3000, WarmupMS: 2000, KeysReloadMS: 10000,
		},
		Attempts: AttemptSettings{
			Max: 8, MaxDeclines: 3, RetryShare: 0.1, RetryBurst: 20,
			ResumeTries: 6, ResumeWaitMS: 50, ResumeWindowMS: 15000, AckChunks: 32, AckBytes: 64 << 10,
			ResumeChunks: 4096, ResumeBytes: 512 << 10,
		},
		Spread: spread.DefaultSettings(), Control: control.DefaultSettings(),
		Ledger: LedgerSettings{WindowMS: 3, InFlight: 4, SettleMS: 3000, KeepDays: 30, TrimMS: 2000},
	}
}

func ms(n int) time.Duration { return time.Duration(n) * time.Millisecond }
