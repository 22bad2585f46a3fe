// Package load makes seeded open-loop traffic with nested shared prefixes,
// sends it at entries and measures what came back. It routes nothing.
package load

import jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"

// BytesPerToken of generated text, as the stand-in engines count.
const BytesPerToken = 4

// Kind is one sort of call in a mix. A prompt has three shared levels, the
// instruction, the contract template or rulebook, and the document, and ends
// in a question that no other call has. Sizes are in tokens.
type Kind struct {
	Name  string
	Class jayv1.Class
	// Share of the mix's calls.
	Share       float64
	Instruction int
	// Templates of Template tokens each workspace has, with Zipf popularity.
	Template     int
	Templates    int
	TemplateZipf float64
	// Documents of Document tokens for each template; 0 documents: every
	// call has its own, read once.
	Document     int
	Documents    int
	DocumentZipf float64
	Question     int
	Output       int
}

// Mix is the traffic of a deployment.
type Mix struct {
	Name          string
	Workspaces    int
	WorkspaceZipf float64
	Kinds         []Kind
	// RecomputeWeight and Servers of the pool that the mix goes to.
	RecomputeWeight float64
	Servers         int
}

// Association is the mix of the Crusher Hire Association: breakdown calls that
// a foreman waits for, reviews of hire contracts, and a nightly batch.
func Association() Mix {
	return Mix{
		Name: "association", Workspaces: 8, WorkspaceZipf: 0.9, Servers: 12,
		Kinds: []Kind{
			{
				Name: "breakdown", Class: jayv1.Class_CLASS_INTERACTIVE, Share: 0.45, Instruction: 512,
				Template: 1536, Templates: 12, TemplateZipf: 1, Question: 96, Output: 4,
			},
			{
				Name: "review", Class: jayv1.Class_CLASS_STANDARD, Share: 0.40, Instruction: 512,
				Template: 2560, Templates: 16, TemplateZipf: 1, Document: 1024, Documents: 12, DocumentZipf: 0.8, Question: 64, Output: 8,
			},
			{
				Name: "month-end", Class: jayv1.Class_CLASS_BATCH, Share: 0.15, Instruction: 512,
				Template: 2560, Templates: 16, TemplateZipf: 1, Document: 512, Question: 64, Output: 8,
			},
		},
	}
}

// Darovnica is the mix of Darovnica Systems: drafts of claims against a
// charity's rulebook, eligibility checks, and month-end batches.
func Darovnica() Mix {
	return Mix{
		Name: "darovnica", Workspaces: 8, WorkspaceZipf: 1, Servers: 9, RecomputeWeight: 0.5,
		Kinds: []Kind{
			{
				Name: "eligibility", Class: jayv1.Class_CLASS_INTERACTIVE, Share: 0.25, Instruction: 384,
				Template: 2048, Templates: 10, TemplateZipf: 1, Question: 48, Output: 4,
			},
			{
				Name: "draft", Class: jayv1.Class_CLASS_STANDARD, Share: 0.30, Instruction: 768,
				Template: 3072, Templates: 10, TemplateZipf: 1, Document: 768, Documents: 12, DocumentZipf: 0.8, Question: 64, Output: 8,
			},
			{
				Name: "month-end", Class: jayv1.Class_CLASS_BATCH, Share: 0.45, Instruction: 768,
				Template: 3072, Templates: 10, TemplateZipf: 1, Document: 384, Question: 64, Output: 8,
			},
		},
	}
}

// Mixes lists the mixes by name.
func Mixes() map[string]Mix {
	all := map[string]Mix{}
	for _, mix := range []Mix{Association(), Darovnica()} {
		all[mix.Name] = mix
	}
	return all
}
