package bundle

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
)

// Change is one difference between two bundles.
type Change struct {
	// Path is the dotted path of the field, with IDs in place of list indexes.
	Path string `json:"path"`
	// Description describes the change in words.
	Description string `json:"what"`
}

// String returns the change as one line of text.
func (c Change) String() string { return c.Path + ": " + c.Description }

// Diff returns the differences between two bundles. It walks all fields by reflection, so that fields added to the
// types later are compared too.
func Diff(from, to *Bundle) []Change {
	d := &differ{}
	d.walk("", reflect.ValueOf(*from), reflect.ValueOf(*to))
	return d.changes
}

type differ struct{ changes []Change }

func (d *differ) add(path, format string, args ...any) {
	d.changes = append(d.changes, Change{Path: path, Description: fmt.Sprintf(format, args...)})
}

func (d *differ) walk(path string, from, to reflect.Value) {
	switch from.Kind() {
	case reflect.Struct:
		for i := range from.NumField() {
			name, _, _ := strings.Cut(from.Type().Field(i).Tag.Get("json"), ",")
			d.walk(join(path, name), from.Field(i), to.Field(i))
		}
	case reflect.Slice:
		d.walkList(path, from, to)
	default:
		if from.Interface() != to.Interface() {
			d.add(path, "%s -> %s%s", formatJSON(from), formatJSON(to), stateEffect(to))
		}
	}
}

func (d *differ) walkList(path string, from, to reflect.Value) {
	if idOf(reflect.Zero(from.Type().Elem())) == nil {
		if !bytes.Equal(marshal(from), marshal(to)) {
			d.add(path, "%s -> %s", formatJSON(from), formatJSON(to))
		}
		return
	}
	before, orderBefore := byID(from)
	after, orderAfter := byID(to)
	for _, id := range orderBefore {
		if _, stays := after[id]; !stays {
			d.add(join(path, id), "removed (%s)", describe(before[id]))
		}
	}
	for _, id := range orderAfter {
		old, known := before[id]
		if !known {
			d.add(join(path, id), "added (%s)", describe(after[id]))
			continue
		}
		d.walk(join(path, id), old, after[id])
	}
	if len(orderBefore) == len(orderAfter) && !reflect.DeepEqual(orderBefore, orderAfter) && sameSet(before, after) {
		d.add(path, "order changes: %s -> %s", strings.Join(orderBefore, ", "), strings.Join(orderAfter, ", "))
	}
}

func join(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}

// idOf returns the ID by which an element of a list is matched with one of another list. It returns nil if the
// element's type has no ID; a list of such elements is compared as a whole.
func idOf(v reflect.Value) *string {
	var id string
	switch e := v.Interface().(type) {
	case Rotation:
		id = fmt.Sprintf("epoch-%d", e.Keyring.Epoch)
	case Key:
		id = e.Signer
	case Signature:
		id = e.Signer
	default:
		if v.Kind() != reflect.Struct || !v.FieldByName("ID").IsValid() {
			return nil
		}
		id = v.FieldByName("ID").String()
	}
	return &id
}

// byID returns the elements of a list by ID, and the IDs in the order of the list.
func byID(list reflect.Value) (elements map[string]reflect.Value, order []string) {
	elements = map[string]reflect.Value{}
	for i := range list.Len() {
		id := *idOf(list.Index(i))
		elements[id] = list.Index(i)
		order = append(order, id)
	}
	return elements, order
}

func sameSet(a, b map[string]reflect.Value) bool {
	for id := range a {
		if _, ok := b[id]; !ok {
			return false
		}
	}
	return len(a) == len(b)
}

func marshal(v reflect.Value) []byte {
	data, err := json.Marshal(v.Interface())
	if err != nil {
		return []byte(err.Error())
	}
	return data
}

// formatJSON returns the value as JSON.
func formatJSON(v reflect.Value) string { return string(marshal(v)) }

// stateEffect returns the effect of a new zone or target state, as a text to append, or an empty string for any other
// value.
func stateEffect(to reflect.Value) string {
	switch to.Interface() {
	case ZoneOut:
		return " (no new work goes to this availability zone)"
	case ZoneIn:
		return " (work returns over return_seconds)"
	case TargetLeaving:
		return " (no new work goes to this target)"
	}
	return ""
}

// describe summarizes a list element that was added or removed.
func describe(v reflect.Value) string {
	switch e := v.Interface().(type) {
	case Zone:
		return "state " + string(e.State)
	case Service:
		return fmt.Sprintf("%d targets, %d snapshots, %d slots, %d cold slots, %d connections", len(e.Targets),
			len(e.Snapshots), e.Slots, e.ColdSlots, e.Connections)
	case Target:
		return fmt.Sprintf("zone %s, address %s, %s", e.Zone, e.Address, e.State)
	case Snapshot:
		return fmt.Sprintf("%d shards", len(e.Shards))
	case Shard:
		return fmt.Sprintf("%d replicas", len(e.Replicas))
	case Rotation:
		return describeKeyring(e.Keyring)
	}
	return formatJSON(v)
}

func describeKeyring(k Keyring) string {
	names := make([]string, len(k.Keys))
	for i, key := range k.Keys {
		names[i] = key.Signer
	}
	return fmt.Sprintf("%d of %s must sign", k.Threshold, strings.Join(names, ", "))
}
