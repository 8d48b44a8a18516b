package main

import (
	"encoding/json"
	"fmt"
	"regexp"
	"strings"
)

// fields are the settings of one process as the platform's page on deployment lists them.
type fields map[string]any

var (
	sectionPattern = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z.]+)\}\}(.*?)\{\{/([A-Za-z.]+)\}\}`)
	valuePattern   = regexp.MustCompile(`\{\{([A-Za-z0-9.]+)(\|json)?\}\}`)
)

// render fills in a settings template. It supports what deploy/host.toml.template uses: values, values as JSON, and sections
// that do not nest.
func render(template string, f fields) string {
	text := sectionPattern.ReplaceAllStringFunc(template, func(section string) string {
		m := sectionPattern.FindStringSubmatch(section)
		return renderSection(m[1] == "^", f.value(m[2]), m[3])
	})
	return valuePattern.ReplaceAllStringFunc(text, func(placeholder string) string {
		m := valuePattern.FindStringSubmatch(placeholder)
		if m[2] != "" {
			return jsonText(f.value(m[1]))
		}
		return plainText(f.value(m[1]))
	})
}

// renderSection renders a section once for each entry of a list, and otherwise once if the value is there, or if it is not for an
// inverted section.
func renderSection(inverted bool, value any, body string) string {
	isSet := value != nil && value != false && value != ""
	if inverted || !isSet {
		if inverted != isSet {
			return body
		}
		return ""
	}
	list, ok := value.([]string)
	if !ok {
		return body
	}
	var out strings.Builder
	for i, entry := range list {
		comma := ","
		if i == len(list)-1 {
			comma = ""
		}
		out.WriteString(strings.NewReplacer("{{.}}", entry, "{{,}}", comma).Replace(body))
	}
	return out.String()
}

// value returns the field with a dotted name, or nil if there is none.
func (f fields) value(name string) any {
	first, rest, nested := strings.Cut(name, ".")
	switch v := f[first].(type) {
	case fields:
		if nested {
			return v.value(rest)
		}
		return v
	case []int:
		var i int
		if _, err := fmt.Sscan(rest, &i); nested && err == nil && i < len(v) {
			return v[i]
		}
		return v
	default:
		return v
	}
}

func plainText(v any) string {
	if v == nil {
		return ""
	}
	return fmt.Sprint(v)
}

func jsonText(v any) string {
	text, err := json.Marshal(v)
	if err != nil {
		return ""
	}
	return string(text)
}
