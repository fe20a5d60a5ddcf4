package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"

	"github.com/matryer/is"
)

var (
	templateSection = regexp.MustCompile(`(?s)\{\{#([a-z_.]+)\}\}(.*?)\{\{/[a-z_.]+\}\}`)
	templateValue   = regexp.MustCompile(`\{\{([a-z_.]+)\|json\}\}`)
)

// lookUp returns the value at a path of names, nil if there is none.
func lookUp(values map[string]any, path string) any {
	var v any = values
	for _, name := range strings.Split(path, ".") {
		m, _ := v.(map[string]any)
		v = m[name]
	}
	return v
}

// render fills in a template as the platform does: a section appears if its value is present, and a
// value that is missing leaves nothing.
func render(text string, values map[string]any) string {
	text = templateSection.ReplaceAllStringFunc(text, func(s string) string {
		parts := templateSection.FindStringSubmatch(s)
		if lookUp(values, parts[1]) == nil {
			return ""
		}
		return parts[2]
	})
	return templateValue.ReplaceAllStringFunc(text, func(s string) string {
		v := lookUp(values, templateValue.FindStringSubmatch(s)[1])
		if v == nil {
			return ""
		}
		data, _ := json.Marshal(v)
		return string(data)
	})
}

// TestEntryTemplate guards against a template that renders settings which are no valid JSON, or lose a
// value, on platforms with and without duties.
func TestEntryTemplate(t *testing.T) {
	check := is.New(t)
	text, err := os.ReadFile("../../deploy/entry.json.tmpl")
	check.NoErr(err)
	values := map[string]any{
		"node_name": "edge-1", "zone": "a", "bind_ip": "10.0.0.1", "port_range": []int{7600, 7615}, "bootstrap": true,
		"listen": map[string]any{"front": "10.0.0.1:80", "ready": "10.0.0.1:81"}, "provider": map[string]any{"address": "10.0.0.2:80"},
		"limits": map[string]any{"memory_mb": 184, "cpu_share": 0.144},
		"bounds": map[string]any{
			"grace_s": 8, "config_apply_ms": 2000, "drain_ms": 2000, "retry_ratio": 0.2, "retry_window_s": 10, "retry_slack": 5, "quota_window_s": 8,
			"quota_over": 0.1, "quota_slack": 5, "cold_over": 1.5, "cold_slack": 5, "ceiling_window_s": 5, "ceiling_over": 1.1,
			"usage_window_s": 6, "usage_off": 0.04, "usage_late_s": 11, "lease_ms": 2500, "require_fence": true,
		},
	}
	load := func() Managed {
		path := filepath.Join(t.TempDir(), "settings.json")
		check.NoErr(os.WriteFile(path, []byte(render(string(text), values)), 0o600))
		s, err := LoadManaged(path, nil)
		check.NoErr(err)
		return s
	}
	without := load()
	check.True(!without.Duties.Has(DutyUsage))
	values["cloud"] = map[string]any{"address": "10.0.0.3:80", "duties": []string{"usage", "autoscale"}, "duty_per_s": 2.5}
	with := load()
	check.True(with.Duties.Has(DutyUsage) && with.Duties.Has(DutyAutoscale))
	check.Equal(with.Duties, Duties{Addr: "10.0.0.3:80", Names: []string{"usage", "autoscale"}, CallsPerS: 2.5})
	b := with.Bounds
	check.Equal([]any{b.UsageWindowS, b.UsageTolerance, b.UsageLateS, b.DutyLeaseMS, b.RequireFence}, []any{6.0, 0.04, 11.0, 2500.0, true})
}
