package checker

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/plantainwheel/plantainwheel/internal/policy/reducer"
)

// Change is how a declarations file differs from the resources in force.
type Change string

// The changes.
const (
	Added Change = "added"
	// Removed marks a resource in force that the file does not declare. Applying the file does not delete it.
	Removed Change = "removed"
	Changed Change = "changed"
)

// Difference is a resource that differs between a file and the resources in force.
type Difference struct {
	Change Change       `json:"change"`
	Kind   reducer.Kind `json:"kind"`
	Name   string       `json:"name"`
	// Fields are the fields that change, ordered by name; empty unless Change is Changed.
	Fields []FieldChange `json:"fields,omitempty"`
}

// FieldChange is a field with different values. Old and New are JSON; both are empty if the field is secret or missing.
type FieldChange struct {
	Field string `json:"field"`
	Old   string `json:"old,omitempty"`
	New   string `json:"new,omitempty"`
}

// secretField is the field that holds the digest of a key. Its values are not reported.
const secretField = "sha256"

func differences(declared []entry, inForce []reducer.Resource) []Difference {
	list := []Difference{}
	// Of several declarations with the same kind and name, the last one remains in force.
	last := map[reducer.ResourceID]entry{}
	for _, e := range declared {
		last[e.id] = e
	}
	old := map[reducer.ResourceID]bool{}
	for _, r := range inForce {
		id := reducer.ResourceID{Kind: r.Kind, Name: r.Name}
		old[id] = true
		e, ok := last[id]
		if !ok {
			list = append(list, Difference{Change: Removed, Kind: r.Kind, Name: r.Name})
			continue
		}
		if fields := fieldChanges(fieldsOf(decode(id, r.Spec)), fieldsOf(e)); len(fields) > 0 {
			list = append(list, Difference{Change: Changed, Kind: r.Kind, Name: r.Name, Fields: fields})
		}
	}
	for id := range last {
		if !old[id] {
			list = append(list, Difference{Change: Added, Kind: id.Kind, Name: id.Name})
		}
	}
	slices.SortFunc(list, func(a, b Difference) int {
		return cmp.Or(slices.Index(reducer.Kinds, a.Kind)-slices.Index(reducer.Kinds, b.Kind), cmp.Compare(a.Name, b.Name))
	})
	return list
}

// fieldsOf returns the fields of a spec after decoding, so that a missing field equals its default.
func fieldsOf(e entry) map[string]json.RawMessage {
	var v any
	switch {
	case e.account != nil:
		v = e.account
	case e.key != nil:
		v = e.key
	case e.service != nil:
		v = e.service
	case e.route != nil:
		v = e.route
	case e.event != nil:
		v = e.event
	}
	fields := map[string]json.RawMessage{}
	data, err := json.Marshal(v)
	if err == nil {
		_ = json.Unmarshal(data, &fields)
	}
	return fields
}

func fieldChanges(old, declared map[string]json.RawMessage) []FieldChange {
	names := map[string]bool{}
	for name := range old {
		names[name] = true
	}
	for name := range declared {
		names[name] = true
	}
	var list []FieldChange
	for name := range names {
		if bytes.Equal(old[name], declared[name]) {
			continue
		}
		change := FieldChange{Field: name}
		if name != secretField {
			change.Old, change.New = string(old[name]), string(declared[name])
		}
		list = append(list, change)
	}
	slices.SortFunc(list, func(a, b FieldChange) int { return cmp.Compare(a.Field, b.Field) })
	return list
}
