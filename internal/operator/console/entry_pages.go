package console

import (
	"context"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"

	"github.com/cloudwego/hertz/pkg/app"
	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/config"
	"github.com/jacinthbend/jacinthbend/internal/errkind"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

func (c *Console) showOverview(_ context.Context, rc *app.RequestContext, s *session) {
	p := c.page(s, "Configuration")
	doc, _ := c.draftDocument(s)
	for _, section := range config.Sections() {
		p.Sections = append(p.Sections, sectionSummary{section, config.SectionHelp(section), len(config.EntryIDs(doc, section))})
	}
	c.render(rc, http.StatusOK, "overview", p)
}

// draftDocument returns the current document with the session's draft applied, and
// its problems.
func (c *Console) draftDocument(s *session) (config.Document, config.Problems) {
	d, _ := s.currentDraft()
	return d.apply(c.publisher.View().Document())
}

// section returns the section that the path names. If there is none, it responds
// with status 404 and returns false.
func (c *Console) section(rc *app.RequestContext, s *session) (record.Section, bool) {
	section := record.Section(strings.Clone(rc.Param("section")))
	if !slices.Contains(config.Sections(), section) {
		c.failWith(rc, s, http.StatusNotFound, errkind.New(errkind.InvalidRequest, "there is no such section"))
		return "", false
	}
	return section, true
}

func (c *Console) showSection(_ context.Context, rc *app.RequestContext, s *session) {
	section, ok := c.section(rc, s)
	if !ok {
		return
	}
	if section == record.SectionLimits {
		redirect(rc, "/entry/limits?id="+config.LimitsID)
		return
	}
	doc, _ := c.draftDocument(s)
	p := c.page(s, string(section))
	p.Section = section
	p.Help = config.SectionHelp(section)
	p.IDs = config.EntryIDs(doc, section)
	c.render(rc, http.StatusOK, "section", p)
}

func (c *Console) showEntry(_ context.Context, rc *app.RequestContext, s *session) {
	section, ok := c.section(rc, s)
	if !ok {
		return
	}
	id := strings.Clone(rc.Query("id"))
	// Call c.page first, so that it reads the version before draftDocument reads the
	// document. A change published in between then causes a conflict when the
	// operator publishes. In the other order it would be overwritten.
	p := c.page(s, string(section))
	doc, problems := c.draftDocument(s)
	value := config.EntryValue(doc, section, id)
	if id != "" && value == nil && section != record.SectionLimits {
		c.failWith(rc, s, http.StatusNotFound, errkind.New(errkind.InvalidRequest, "there is no such entry"))
		return
	}
	p.New = id == ""
	p.Section, p.ID, p.Fields = section, id, formFields(section, value)
	c.entryPage(rc, http.StatusOK, p, problems)
}

// entryPage renders the form of an entry. It shows each problem beside the field
// that it concerns, and the others beside the id.
func (c *Console) entryPage(rc *app.RequestContext, status int, p page, problems config.Problems) {
	p.Help = config.SectionHelp(p.Section)
	fields := p.Fields
	path := config.EntryPath(p.Section, p.ID)
	for _, problem := range problems.Under(path) {
		matchesField := false
		for i := range fields {
			if len(config.Problems{problem}.Under(path.Field(fields[i].Name))) > 0 {
				fields[i].Problems = append(fields[i].Problems, problem)
				matchesField = true
			}
		}
		if !matchesField {
			p.IDProblems = append(p.IDProblems, problem)
		}
	}
	c.render(rc, status, "entry", p)
}

// saveEntry adds the posted entry to the draft. If the entry itself has problems, it
// shows the form again instead.
func (c *Console) saveEntry(_ context.Context, rc *app.RequestContext, s *session) {
	section, ok := c.section(rc, s)
	if !ok {
		return
	}
	id := strings.TrimSpace(formValue(rc, "entry_id"))
	value := entryJSON(section, func(name string) string { return formValue(rc, "field_"+name) })
	d, conflict := s.currentDraft()
	base := c.formBase(rc)
	next := d.withChange(record.EntryChange{Section: section, ID: id, Value: value}, base)
	doc := c.publisher.View().Document()
	_, problems := next.apply(doc)
	if len(problems.Under(config.EntryPath(section, id))) > 0 {
		p := c.page(s, string(section))
		p.Version = base
		p.New = config.EntryValue(doc, section, id) == nil && section != record.SectionLimits
		p.Section, p.ID, p.Fields = section, id, formFields(section, value)
		c.entryPage(rc, http.StatusUnprocessableEntity, p, problems)
		return
	}
	s.setDraft(next, conflict)
	redirect(rc, "/draft")
}

func (c *Console) deleteEntry(_ context.Context, rc *app.RequestContext, s *session) {
	section, ok := c.section(rc, s)
	if !ok {
		return
	}
	d, conflict := s.currentDraft()
	change := record.EntryChange{Section: section, ID: formValue(rc, "entry_id")}
	s.setDraft(d.withChange(change, c.formBase(rc)), conflict)
	redirect(rc, "/draft")
}

// formBase returns the version from which the posted form was rendered. If the form
// has no valid version it returns 0, so that publishing ends in a conflict.
func (c *Console) formBase(rc *app.RequestContext) backing.Offset {
	base, err := strconv.ParseUint(formValue(rc, "base"), 10, 64)
	if err != nil {
		return 0
	}
	return min(backing.Offset(base), c.publisher.View().ConfigVersion)
}

// EntryURL returns the URL of an entry's form.
func (p page) EntryURL(section record.Section, id string) string {
	return Prefix + "/entry/" + string(section) + "?id=" + url.QueryEscape(id)
}
