package settings

import (
	"encoding/json"
	"testing"

	"github.com/matryer/is"
)

// TestDutiesTemplate guards against a deployment without duties whose settings cannot be read, and against
// values of a template that take no effect.
func TestDutiesTemplate(t *testing.T) {
	for name, tt := range map[string]struct {
		json string
		want Duties
	}{
		"rendered nothing": {`{"addr": [], "names": [], "calls_per_s": [], "lease_ms": [3000]}`, Duties{}},
		"rendered null":    {`{"addr": [null], "names": [null], "require_fence": [null]}`, Duties{}},
		"rendered":         {`{"addr": ["10.0.0.1:80"], "names": [["usage"]], "calls_per_s": [50], "usage_window_s": [6]}`, Duties{Addr: "10.0.0.1:80", Names: []string{"usage"}, CallsPerS: 50}},
	} {
		t.Run(name, func(t *testing.T) {
			check := is.New(t)
			s := validManaged()
			check.NoErr(json.Unmarshal([]byte(`{"duties_template": `+tt.json+`}`), &s))
			s.setDefaults()
			check.NoErr(s.Validate())
			check.Equal(s.Duties, tt.want)
			if tt.want.Addr != "" {
				check.Equal(s.Bounds.UsageWindowS, 6.0)
				check.Equal(s.Bounds.UsageLateS, float64(defaultUsageLateS))
			}
		})
	}
}
