// Package configcheck finds errors and contradictions in a configuration, a
// routetable.Table, before it is sent, and compares two configurations. It names places by
// what they mean; the decoder of a format knows their names there. It does no I/O, starts
// no goroutine and reads no clock.
package configcheck

import (
	"fmt"

	"github.com/jayproxy/jayproxy/internal/findings"
)

// Section is a part of a configuration.
type Section string

// The sections.
const (
	SectionConfig    Section = "configuration"
	SectionLimits    Section = "limits"
	SectionRoute     Section = "route"
	SectionService   Section = "service"
	SectionWorkspace Section = "workspace"
)

// Field is a value of a section's element; empty for the element itself.
type Field string

// The fields. FieldTarget, FieldTargetWeight, FieldModel and FieldKey are elements of lists.
const (
	FieldNone          Field = ""
	FieldVersion       Field = "version"
	FieldName          Field = "name"
	FieldHost          Field = "host"
	FieldPrefix        Field = "prefix"
	FieldKind          Field = "kind"
	FieldTimeout       Field = "timeout"
	FieldLatencyTarget Field = "latency target"
	FieldGapTarget     Field = "gap target"
	FieldPriority      Field = "priority"
	FieldTargets       Field = "targets"
	FieldTarget        Field = "target"
	FieldTargetWeight  Field = "target weight"
	FieldMaxAttempts   Field = "max attempts"
	FieldPublic        Field = "public"
	FieldSticky        Field = "sticky"
	FieldResumable     Field = "resumable"
	FieldHealthPath    Field = "health path"
	FieldMaxConns      Field = "max connections"
	FieldEngine        Field = "engine"
	FieldSlots         Field = "slots"
	FieldEngineTokens  Field = "engine KV capacity"
	FieldTokenBytes    Field = "bytes of a token"
	FieldMaxEventCalls Field = "max event calls"
	FieldModels        Field = "models"
	FieldModel         Field = "model"
	FieldStoreAddress  Field = "store address"
	FieldDataCentre    Field = "data centre"
	FieldStoreTokens   Field = "store KV capacity"
	FieldLinkRate      Field = "link rate"
	FieldKeys          Field = "keys"
	FieldKey           Field = "key"
	FieldIsolated      Field = "isolated"
	FieldRate          Field = "usage rate"
	FieldBurst         Field = "usage burst"
	FieldUnit          Field = "usage unit"
	FieldDefaultTokens Field = "default tokens"
	FieldHeaderBytes   Field = "header bytes"
	FieldBodyBytes     Field = "body bytes"
	FieldHeaderTimeout Field = "header timeout"
	FieldIdleTimeout   Field = "idle timeout"
)

// Place is where in a configuration a finding is.
type Place struct {
	Section Section
	// Index of the element among those of its section, as declared.
	Index int
	Field Field
	// Item is the index in the field, where that is an element of a list.
	Item int
}

// Finding is an error or a warning about one place.
type Finding struct {
	Place    Place
	Severity findings.Severity
	Message  string
}

// list collects findings.
type list []Finding

func (l *list) add(severity findings.Severity, place Place, format string, args ...any) {
	*l = append(*l, Finding{Place: place, Severity: severity, Message: fmt.Sprintf(format, args...)})
}

func (l *list) err(place Place, format string, args ...any) {
	l.add(findings.SeverityError, place, format, args...)
}

func (l *list) warn(place Place, format string, args ...any) {
	l.add(findings.SeverityWarning, place, format, args...)
}
