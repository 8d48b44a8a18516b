package main

import (
	"encoding/json"
	"fmt"
	"os"
	"regexp"
	"strconv"
	"strings"
)

const templatePath = "deploy/host.toml.template"

var (
	sectionPattern     = regexp.MustCompile(`(?s)\{\{([#^])([A-Za-z.]+)\}\}(.*?)\{\{/[A-Za-z.]+\}\}`)
	placeholderPattern = regexp.MustCompile(`\{\{([A-Za-z0-9.@]+)(\|json)?\}\}`)
)

// entry is one entry of a table that a section is rendered for.
type entry struct{ key, value string }

// renderTemplate fills in the project's template of settings as the platform does, from the fields that it needs.
func renderTemplate(fields map[string]any) (string, error) {
	text, err := os.ReadFile(templatePath)
	if err != nil {
		return "", err
	}
	rendered := sectionPattern.ReplaceAllStringFunc(string(text), func(section string) string {
		m := sectionPattern.FindStringSubmatch(section)
		value := lookUp(fields, m[2])
		if m[1] == "^" {
			if isEmpty(value) {
				return m[3]
			}
			return ""
		}
		return renderSection(m[3], value)
	})
	return placeholderPattern.ReplaceAllStringFunc(rendered, func(placeholder string) string {
		m := placeholderPattern.FindStringSubmatch(placeholder)
		value := lookUp(fields, m[1])
		if m[2] != "" {
			if encoded, err := json.Marshal(value); err == nil {
				return string(encoded)
			}
		}
		return fmt.Sprint(value)
	}), nil
}

func renderSection(body string, value any) string {
	var entries []entry
	switch v := value.(type) {
	case []string:
		for i, s := range v {
			entries = append(entries, entry{key: strconv.Itoa(i), value: s})
		}
	case []entry:
		entries = v
	default:
		if isEmpty(value) {
			return ""
		}
		return body
	}
	var out strings.Builder
	for i, e := range entries {
		comma := ","
		if i == len(entries)-1 {
			comma = ""
		}
		out.WriteString(strings.NewReplacer("{{@}}", e.key, "{{.}}", e.value, "{{,}}", comma).Replace(body))
	}
	return out.String()
}

// lookUp returns the value of a name such as Bounds.GraceS or InternalPorts.0.
func lookUp(fields map[string]any, name string) any {
	first, rest, nested := strings.Cut(name, ".")
	value := fields[first]
	if !nested {
		return value
	}
	switch v := value.(type) {
	case map[string]any:
		return lookUp(v, rest)
	case []int:
		if i, err := strconv.Atoi(rest); err == nil && i < len(v) {
			return v[i]
		}
	}
	return nil
}

func isEmpty(value any) bool {
	switch v := value.(type) {
	case nil:
		return true
	case bool:
		return !v
	case string:
		return v == ""
	}
	return false
}
