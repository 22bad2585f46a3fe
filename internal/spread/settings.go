package spread

import "time"

// Settings of the distribution of generations, the same in every process of a fleet.
type Settings struct {
	// Interval between two digests to neighbours while nothing changes.
	Interval time.Duration `toml:"interval" validate:"min=100ms" unit:"duration" doc:"time between two gossip digests to neighbours while nothing changes"`
	// FanOut is the number of neighbours that an entry sends a new generation to.
	FanOut int `toml:"fan_out" validate:"min=1,max=16" unit:"entries" doc:"neighbours that an entry tells of a new generation"`
	// PushGap is the least time between two pushes of new generations.
	PushGap time.Duration `toml:"push_gap" unit:"duration" doc:"least time between two pushes of new generations, so that a burst of changes is told once"`
	// Pollers is the number of entries per data centre that poll the head generation in the store.
	Pollers int `toml:"pollers" validate:"min=1,max=8" unit:"entries" doc:"entries of a data centre that read the head of the catalog"`
	// PollInterval is the time between two reads of the head by a poller.
	PollInterval time.Duration `toml:"poll_interval" validate:"min=100ms" unit:"duration" doc:"time between two reads of the head by one poller"`
	// SilentAfter: an entry that received nothing from other entries for this long polls
	// the head as well.
	SilentAfter time.Duration `toml:"silent_after" unit:"duration" doc:"an entry that heard no other for this long reads the head by itself"`
	// PullTimeout bounds one exchange with a peer or the store.
	PullTimeout time.Duration `toml:"pull_timeout" unit:"duration" doc:"bound of one exchange with a peer or the store"`
	// PreferredEntries is the number of entries that send new generations to an agent.
	// Another entry replaces one that can't be reached.
	PreferredEntries int `toml:"homes" validate:"min=1,max=4" unit:"entries" doc:"entries that tell an agent of new generations"`
	// EntryToAgentInterval between two digests of an entry to an agent that is up to date.
	EntryToAgentInterval time.Duration `toml:"home_interval" unit:"duration" doc:"time between two digests to an agent that is up to date"`
	// SuspectFor: a peer that could not be reached is skipped for this long, unless a
	// message from it arrives.
	SuspectFor time.Duration `toml:"suspect_for" unit:"duration" doc:"a peer that could not be reached is passed over for this long, unless it is heard"`
	// VMInterval is the least time between two reads of the VM list.
	VMInterval time.Duration `toml:"vm_interval" validate:"min=100ms" unit:"duration" doc:"least time between two reads of the VM list"`
	// VMReadsPerSecond bounds the whole fleet's reads of the VM list.
	VMReadsPerSecond float64 `toml:"vm_reads_per_second" validate:"gt=0" unit:"reads/s" doc:"bound on the whole fleet's reads of the VM list; each entry's interval grows with the number of entries"`
	// AgentToEntryInterval between two digests of an agent to entries. It sends none while
	// an entry contacts it.
	AgentToEntryInterval time.Duration `toml:"agent_interval" unit:"duration" doc:"time between two digests of an agent to entries that it knows"`
	// StartWait bounds the wait of a starting process for the newest generation.
	StartWait time.Duration `toml:"start_wait" unit:"duration" doc:"bound on a starting process's wait for the newest generation"`
}

// DefaultSettings suit a few entries up to several hundred.
func DefaultSettings() Settings {
	return Settings{
		Interval:             3 * time.Second,
		FanOut:               3,
		PushGap:              50 * time.Millisecond,
		Pollers:              2,
		PollInterval:         time.Second,
		SilentAfter:          4 * time.Second,
		PullTimeout:          time.Second,
		PreferredEntries:     1,
		EntryToAgentInterval: 10 * time.Second,
		SuspectFor:           15 * time.Second,
		VMInterval:           time.Second,
		VMReadsPerSecond:     100,
		AgentToEntryInterval: 10 * time.Second,
		StartWait:            2 * time.Second,
	}
}
