package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"sort"
)

// diff returns the differences between two catalogues, one line per value. List entries are matched by name, so reordering them
// is not a difference.
func diff(before, after []byte) ([]string, error) {
	old, err := flatten(before)
	if err != nil {
		return nil, err
	}
	updated, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var changes []string
	for path, value := range old {
		switch next, ok := updated[path]; {
		case !ok:
			changes = append(changes, fmt.Sprintf("- %s: %s", path, value))
		case next != value:
			changes = append(changes, fmt.Sprintf("~ %s: %s -> %s", path, value, next))
		}
	}
	for path, value := range updated {
		if _, ok := old[path]; !ok {
			changes = append(changes, fmt.Sprintf("+ %s: %s", path, value))
		}
	}
	sort.Slice(changes, func(i, j int) bool { return changes[i][2:] < changes[j][2:] })
	return changes, nil
}

// flatten returns the JSON of each scalar by its path.
func flatten(data []byte) (map[string]string, error) {
	d := json.NewDecoder(bytes.NewReader(data))
	d.UseNumber()
	var root any
	if err := d.Decode(&root); err != nil {
		return nil, err
	}
	values := make(map[string]string)
	collect(values, "", root)
	return values, nil
}

func collect(into map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, member := range v {
			collect(into, joinPath(path, name), member)
		}
	case []any:
		for i, member := range v {
			collect(into, fmt.Sprintf("%s[%s]", path, entryName(i, member)), member)
		}
	default:
		text, err := json.Marshal(v)
		if err != nil {
			text = []byte(fmt.Sprint(v)) // unreachable for decoded JSON
		}
		into[path] = string(text)
	}
}

func entryName(i int, member any) string {
	if object, ok := member.(map[string]any); ok {
		if name, ok := object["name"].(string); ok {
			return name
		}
	}
	if text, ok := member.(string); ok {
		return text
	}
	return fmt.Sprint(i)
}

func joinPath(path, name string) string {
	if path == "" {
		return name
	}
	return path + "." + name
}
