package capacity

// Sizes is the size and load of a deployment, and the limits that apply to it.
type Sizes struct {
	Entries           float64
	BackendServers    float64
	DataCentres       float64
	Regions           float64
	RequestsPerSec    float64
	TokensPerSec      float64
	CachedBlocks      float64
	EventsPerSec      float64
	Workspaces        float64
	Models            float64
	ChangesPerDay     float64
	VMsReplacedPerDay float64
	// PlatformReads and PlatformWrites are the rates per second that the platform allows.
	PlatformReads  float64
	PlatformWrites float64
	// CoreShare, MemoryBytes and BytesPerSec are the limits of control work per process:
	// share of a core, memory, and network traffic.
	CoreShare   float64
	MemoryBytes float64
	BytesPerSec float64
	// SecondsBetweenTokens is the required time between two tokens of an answer.
	SecondsBetweenTokens float64
	// ChangeSeconds bounds the time until a change is in force.
	ChangeSeconds float64
}

// TwoYearForecast returns the size that the users expect in two years. The platform
// allows several hundred writes per second, taken as 400, and about 2,000 reads.
func TwoYearForecast() Sizes {
	return Sizes{
		Entries: 810, BackendServers: 7000, DataCentres: 22, Regions: 7,
		RequestsPerSec: 130e3, TokensPerSec: 26e6, CachedBlocks: 160e6, EventsPerSec: 8.3e6,
		Workspaces: 220, Models: 26, ChangesPerDay: 16000, VMsReplacedPerDay: 1100 + 47,
		PlatformReads: 2000, PlatformWrites: 400,
		CoreShare: 0.014, MemoryBytes: 64 << 20, BytesPerSec: 2 << 10,
		SecondsBetweenTokens: 0.034, ChangeSeconds: 5,
	}
}

func (s Sizes) entriesPerDC() float64     { return s.Entries / s.DataCentres }
func (s Sizes) serversPerDC() float64     { return s.BackendServers / s.DataCentres }
func (s Sizes) requestsPerEntry() float64 { return s.RequestsPerSec / s.Entries }
func (s Sizes) requestsPerServer() float64 {
	return s.RequestsPerSec / s.BackendServers
}
func (s Sizes) blocksPerServer() float64  { return s.CachedBlocks / s.BackendServers }
func (s Sizes) eventsPerServer() float64  { return s.EventsPerSec / s.BackendServers }
func (s Sizes) changesPerSecond() float64 { return s.ChangesPerDay / 86400 }
func (s Sizes) objects() float64 {
	const rulesPerWorkspace = 2
	return s.BackendServers + s.Models + s.Workspaces*(1+rulesPerWorkspace)
}

// openStreamsPerEntry follows from Little's law: requests per second times their
// duration, the tokens of an answer times the time between two tokens.
func (s Sizes) openStreamsPerEntry() float64 {
	tokens := s.TokensPerSec / s.RequestsPerSec
	return s.requestsPerEntry() * tokens * s.SecondsBetweenTokens
}
