// Package lint checks a configuration that the daemons accept for entries that have no effect and for limits that
// contradict each other, and lists the differences between two versions. It performs no I/O and never puts a key into a
// message: a key is named by its place only.
package lint

import (
	"fmt"

	"papayacroft/catalog"
	"papayacroft/finding"
)

// Section is a part of a configuration.
type Section string

// The sections of a configuration.
const (
	SectionVersion       Section = "version"
	SectionRoutes        Section = "routes"
	SectionServices      Section = "services"
	SectionOrganisations Section = "organisations"
	SectionLimits        Section = "limits"
)

// Field is a field of an entry, in the terms of package catalog.
type Field string

// The fields that findings refer to.
const (
	FieldNone           Field = ""
	FieldName           Field = "name"
	FieldHost           Field = "host"
	FieldPathPrefix     Field = "pathPrefix"
	FieldKind           Field = "kind"
	FieldShares         Field = "shares"
	FieldTimeout        Field = "timeout"
	FieldTarget         Field = "target"
	FieldPauseTarget    Field = "pauseTarget"
	FieldPriority       Field = "priority"
	FieldAttempts       Field = "attempts"
	FieldPublic         Field = "public"
	FieldResumable      Field = "resumable"
	FieldHealthPath     Field = "healthPath"
	FieldMaxConnections Field = "maxConnections"
	FieldEngine         Field = "engine"
	FieldKeys           Field = "keys"
	FieldMaxHeaderBytes Field = "maxHeaderBytes"
	FieldMaxBodyBytes   Field = "maxBodyBytes"
	FieldHeaderTimeout  Field = "headerTimeout"
	FieldIdleTimeout    Field = "idleTimeout"
)

// whole is the Index of a place that is a section, or the Item of one that is not an item of a list.
const whole = -1

// Place is the part of a configuration that a finding refers to.
type Place struct {
	Section Section
	// Index is the position of a route or organisation in its list; it is negative for a section.
	Index int
	// Name identifies a service.
	Name  string
	Field Field
	// Item is the position in the list of shares or keys; it is negative for a field.
	Item int
}

func inSection(sec Section, fld Field) Place {
	return Place{Section: sec, Index: whole, Field: fld, Item: whole}
}

func inRoute(index int, fld Field) Place {
	return Place{Section: SectionRoutes, Index: index, Field: fld, Item: whole}
}

func inService(name string, fld Field) Place {
	return Place{Section: SectionServices, Index: whole, Name: name, Field: fld, Item: whole}
}

func inOrganisation(index int, fld Field) Place {
	return Place{Section: SectionOrganisations, Index: index, Field: fld, Item: whole}
}

// item returns the place of an item of the list that the place names.
func (plc Place) item(index int) Place {
	plc.Item = index
	return plc
}

// Finding is a problem of a configuration, or a difference between two.
type Finding struct {
	Severity finding.Severity
	Place    Place
	Message  string
}

// list collects findings.
type list []Finding

func (lst *list) warn(plc Place, format string, args ...any) {
	*lst = append(*lst, Finding{Severity: finding.SeverityWarning, Place: plc, Message: fmt.Sprintf(format, args...)})
}

func (lst *list) change(plc Place, format string, args ...any) {
	*lst = append(*lst, Finding{Severity: finding.SeverityChange, Place: plc, Message: fmt.Sprintf(format, args...)})
}

// Check returns the findings of a configuration. Endpoints holds the number of known endpoints by service; it may be nil,
// and services that it does not contain are not compared with it.
func Check(cat *catalog.Catalog, endpoints map[string]int) []Finding {
	var lst list
	lst.checkMatching(cat)
	lst.checkShares(cat)
	lst.checkOrganisations(cat)
	lst.checkLimits(cat, endpoints)
	lst.checkPriorities(cat)
	return lst
}
