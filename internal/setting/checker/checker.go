// Package checker finds errors, entries without effect and contradicting limits in a file of declarations, and compares
// the file with the resources in force.
package checker

import (
	"bytes"
	"cmp"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
	"github.com/plantainwheel/plantainwheel/internal/setting/loader"
	"github.com/tailscale/hujson"
)

// Finding is a fault in a declarations file.
type Finding struct {
	// Line and Column count from 1; the column counts bytes.
	Line   int `json:"line"`
	Column int `json:"column"`
	// Kind and Name are those of the declaration, if they are known.
	Kind    reducer.Kind `json:"kind,omitempty"`
	Name    string       `json:"name,omitempty"`
	Message string       `json:"message"`
}

// Report is the result of a check.
type Report struct {
	// Findings are ordered by line and column.
	Findings []Finding `json:"findings"`
	// Differences are ordered by kind and name.
	Differences []Difference `json:"differences"`
}

// entry is a valid declaration. The pointer that matches its kind is set.
type entry struct {
	// value is the declaration's object in the file, or nil for a resource in force that the file does not declare.
	value   *hujson.Value
	id      reducer.ResourceID
	spec    json.RawMessage
	account *reducer.Account
	key     *reducer.Key
	service *reducer.Service
	route   *reducer.Route
	event   *reducer.Event
}

type check struct {
	data     []byte
	entries  []entry
	findings []Finding
	// incomplete reports whether some declarations are invalid, so that names may be declared although no entry has them.
	incomplete bool
}

// Check checks a file of declarations as of now. References are resolved among the file's declarations and the resources
// in force, because applying a file deletes nothing. If compare is set, the report contains the differences from the
// resources in force, unless the file contains an invalid declaration.
func Check(data []byte, inForce []reducer.Resource, compare bool, now time.Time) Report {
	c := &check{data: data}
	c.read()
	c.checkAccepted()
	declared := slices.Clone(c.entries)
	c.addInForce(inForce)
	c.checkReferences()
	c.checkEffects(now)
	c.checkLimits()
	slices.SortStableFunc(c.findings, func(a, b Finding) int {
		return cmp.Or(cmp.Compare(a.Line, b.Line), cmp.Compare(a.Column, b.Column))
	})
	r := Report{Findings: c.findings, Differences: []Difference{}}
	if r.Findings == nil {
		r.Findings = []Finding{}
	}
	if compare && !c.incomplete {
		r.Differences = differences(declared, inForce)
	}
	return r
}

var positionPattern = regexp.MustCompile(`line (\d+), column (\d+): `)

// read decodes the file and reports each invalid declaration.
func (c *check) read() {
	root, err := hujson.Parse(c.data)
	if err != nil {
		c.addSyntaxError(err)
		return
	}
	object, ok := root.Value.(*hujson.Object)
	if !ok {
		c.invalid(root.StartOffset, reducer.ResourceID{}, "must be an object with the member declarations")
		return
	}
	for i := range object.Members {
		m := &object.Members[i]
		name, _ := m.Name.Value.(hujson.Literal)
		list, isArray := m.Value.Value.(*hujson.Array)
		switch {
		case name.String() != "declarations":
			c.invalid(m.Name.StartOffset, reducer.ResourceID{}, "unknown field, allowed: declarations")
		case !isArray:
			c.invalid(m.Value.StartOffset, reducer.ResourceID{}, "declarations must be an array")
		default:
			for j := range list.Elements {
				c.readEntry(&list.Elements[j])
			}
		}
	}
}

// checkAccepted reports a file that apply refuses for a reason that read does not look for, such as the case of a field's
// name.
func (c *check) checkAccepted() {
	_, err := loader.ParseDeclarations("", c.data)
	var fault *loader.FieldError
	if c.incomplete || !errors.As(err, &fault) {
		return
	}
	c.incomplete = true
	c.findings = append(c.findings, Finding{Line: fault.Line, Column: 1, Message: fault.Field + ": " + fault.Message})
}

func (c *check) addSyntaxError(err error) {
	f := Finding{Line: 1, Column: 1, Message: "syntax: " + err.Error()}
	if m := positionPattern.FindStringSubmatch(err.Error()); m != nil {
		f.Line, _ = strconv.Atoi(m[1])
		f.Column, _ = strconv.Atoi(m[2])
	}
	c.findings = append(c.findings, f)
	c.incomplete = true
}

func (c *check) readEntry(v *hujson.Value) {
	std := v.Clone()
	std.Standardize()
	var d loader.Declaration
	dec := json.NewDecoder(bytes.NewReader(std.Pack()))
	dec.DisallowUnknownFields()
	if err := dec.Decode(&d); err != nil {
		c.invalid(v.StartOffset, reducer.ResourceID{Kind: d.Kind, Name: d.Name}, err.Error())
		return
	}
	id := reducer.ResourceID{Kind: d.Kind, Name: d.Name}
	if err := reducer.Validate(d.Kind, d.Name, d.Spec); err != nil {
		message := err.Error()
		invalid, subject := reducer.ErrInvalid.Error()+": ", string(d.Kind)+" "+d.Name+": "
		for _, prefix := range []string{invalid, subject, invalid} {
			message = strings.TrimPrefix(message, prefix)
		}
		c.invalid(faultOffset(v, message), id, message)
		return
	}
	e := decode(id, d.Spec)
	e.value = v
	if slices.ContainsFunc(c.entries, func(o entry) bool { return o.id == id }) {
		c.add(&e, "/name", "declared twice: the later declaration replaces the earlier one")
	}
	c.entries = append(c.entries, e)
}

var wordPattern = regexp.MustCompile(`[a-z0-9-]+`)

// faultOffset returns the offset of the first field that an error message names, or that of the whole declaration.
func faultOffset(v *hujson.Value, message string) int {
	for _, word := range wordPattern.FindAllString(message, -1) {
		for _, pointer := range []string{"/spec/" + word, "/" + word} {
			if field := v.Find(pointer); field != nil {
				return field.StartOffset
			}
		}
	}
	return v.StartOffset
}

// decode decodes a spec that has passed validation.
func decode(id reducer.ResourceID, spec json.RawMessage) entry {
	e := entry{id: id, spec: spec}
	var target any
	switch id.Kind {
	case reducer.KindAccount:
		e.account = &reducer.Account{}
		target = e.account
	case reducer.KindKey:
		e.key = &reducer.Key{}
		target = e.key
	case reducer.KindService:
		e.service = &reducer.Service{}
		target = e.service
	case reducer.KindRoute:
		e.route = &reducer.Route{}
		target = e.route
	case reducer.KindEvent:
		e.event = &reducer.Event{}
		target = e.event
	}
	_ = json.Unmarshal(spec, target)
	return e
}

// addInForce adds the resources in force that the file does not declare.
func (c *check) addInForce(inForce []reducer.Resource) {
	for _, r := range inForce {
		id := reducer.ResourceID{Kind: r.Kind, Name: r.Name}
		if !c.has(id.Kind, id.Name) && reducer.Validate(r.Kind, r.Name, r.Spec) == nil {
			c.entries = append(c.entries, decode(id, r.Spec))
		}
	}
}

func (c *check) has(kind reducer.Kind, name string) bool {
	return slices.ContainsFunc(c.entries, func(e entry) bool { return e.id == reducer.ResourceID{Kind: kind, Name: name} })
}

// add reports a fault at a member of a declaration. Faults of resources that the file does not declare are left out.
func (c *check) add(e *entry, pointer, format string, args ...any) {
	if e.value == nil {
		return
	}
	offset := e.value.StartOffset
	if v := e.value.Find(pointer); v != nil {
		offset = v.StartOffset
	}
	c.addAt(offset, e.id, fmt.Sprintf(format, args...))
}

func (c *check) addAt(offset int, id reducer.ResourceID, message string) {
	before := c.data[:offset]
	c.findings = append(c.findings, Finding{
		Line:   1 + bytes.Count(before, []byte("\n")),
		Column: offset - bytes.LastIndexByte(before, '\n'),
		Kind:   id.Kind, Name: id.Name, Message: message,
	})
}

func (c *check) invalid(offset int, id reducer.ResourceID, message string) {
	c.incomplete = true
	c.addAt(offset, id, message)
}
