// Package load generates seeded open-loop traffic with nested shared prefixes,
// sends it to entries and summarizes the responses.
package load

import jayv1 "github.com/jayproxy/jayproxy/api/gen/jay/v1"

// BytesPerToken is the number of bytes of generated text that the stand-in engines
// count as one token.
const BytesPerToken = 4

// Kind is one type of call in a mix. A prompt consists of up to three shared
// levels, the instruction, the template (of a contract, or a rulebook) and the
// document, and a question that is unique to the call. Sizes are in tokens.
type Kind struct {
	Name  string
	Class jayv1.Class
	// Share of the mix's calls that are of this kind.
	Share float64
	// Instruction is the size of the instruction, one per workspace and kind.
	Instruction int
	// Templates is the number of templates per workspace, each of Template tokens.
	// Their popularity follows a Zipf distribution with exponent TemplateZipf.
	Template     int
	Templates    int
	TemplateZipf float64
	// Documents is the number of documents per template, each of Document tokens; 0
	// means that every call has a document of its own.
	Document     int
	Documents    int
	DocumentZipf float64
	Question     int
	Output       int
}

// Mix is the typical traffic of a deployment.
type Mix struct {
	Name          string
	Workspaces    int
	WorkspaceZipf float64
	Kinds         []Kind
	// RecomputeWeight and Servers configure the pool that serves the mix.
	RecomputeWeight float64
	Servers         int
}

// Association returns a mix with 45% interactive breakdown calls, 40% contract
// reviews and 15% batch calls.
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

// Darovnica returns a mix with 25% interactive eligibility checks, 30% drafts of
// claims against a rulebook and 45% batch calls.
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

// Mixes returns all mixes by name.
func Mixes() map[string]Mix {
	all := map[string]Mix{}
	for _, mix := range []Mix{Association(), Darovnica()} {
		all[mix.Name] = mix
	}
	return all
}
