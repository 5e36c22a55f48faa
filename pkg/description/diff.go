package description

import (
	"encoding/json"
	"fmt"
	"sort"
)

// Diff returns one line of the form "path: old -> new" for each value that
// differs between two description bodies, in sorted order. "(added)" stands for
// the old value of an added path and "(removed)" for the new value of a removed one.
func Diff(before, after []byte) ([]string, error) {
	oldValues, err := flatten(before)
	if err != nil {
		return nil, err
	}
	newValues, err := flatten(after)
	if err != nil {
		return nil, err
	}
	var lines []string
	for path, value := range oldValues {
		if newValue, ok := newValues[path]; !ok {
			lines = append(lines, fmt.Sprintf("%s: %s -> (removed)", path, value))
		} else if newValue != value {
			lines = append(lines, fmt.Sprintf("%s: %s -> %s", path, value, newValue))
		}
	}
	for path, value := range newValues {
		if _, ok := oldValues[path]; !ok {
			lines = append(lines, fmt.Sprintf("%s: (added) -> %s", path, value))
		}
	}
	sort.Strings(lines)
	return lines, nil
}

// flatten returns the JSON encoding of each scalar value in body, keyed by path.
// It leaves out null values.
func flatten(body []byte) (map[string]string, error) {
	var value any
	if len(body) > 0 {
		if err := json.Unmarshal(body, &value); err != nil {
			return nil, err
		}
	}
	leaves := make(map[string]string)
	flattenInto(leaves, "", value)
	return leaves, nil
}

func flattenInto(leaves map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for key, child := range v {
			flattenInto(leaves, path+"/"+key, child)
		}
	case []any:
		for i, child := range v {
			flattenInto(leaves, fmt.Sprintf("%s/%d", path, i), child)
		}
	case nil:
	default:
		encoded, _ := json.Marshal(v)
		leaves[path] = string(encoded)
	}
}
