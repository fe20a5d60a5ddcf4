package settings

import (
	"encoding/json"
	"os"
	"path/filepath"
	"testing"

	"github.com/matryer/is"
)

// validManaged returns valid settings of an entry instance.
func validManaged() Managed {
	return Managed{
		Instance: "edge-1", DataCentre: "a", BindIP: "10.0.0.1", PortRange: [2]int{7600, 7615}, CallerAddr: "10.0.0.1:80", ReadyAddr: "10.0.0.1:81",
		StoreAddr: "10.0.0.2:80", MemoryMB: 184, CPUShare: 0.144,
		Bounds: ManagedBounds{GraceS: 8, RetryWindowS: 10, LoadWindowS: 5, QuotaWindowS: 8},
	}
}

// TestManagedSettings guards against invalid settings of a managed process that take
// effect as something else: each is reported with its field.
func TestManagedSettings(t *testing.T) {
	for field, set := range map[string]func(*Managed){
		"":                       func(*Managed) {},
		"instance":               func(s *Managed) { s.Instance = "" },
		"store_addr":             func(s *Managed) { s.StoreAddr = "store" },
		"log_level":              func(s *Managed) { s.LogLevel = "loud" },
		"spill_weight":           func(s *Managed) { s.SpillWeight = -1 },
		"cpu_share":              func(s *Managed) { s.CPUShare = -1 },
		"bounds.quota_window_s":  func(s *Managed) { s.Bounds.QuotaWindowS = 0 },
		"duties.addr":            func(s *Managed) { s.Duties.Addr = "cloud" },
		"duties.calls_per_s":     func(s *Managed) { s.Duties = Duties{Addr: "10.0.0.3:80", CallsPerS: -1} },
		"bounds.duty_lease_ms":   func(s *Managed) { s.Duties.Addr, s.Bounds.DutyLeaseMS = "10.0.0.3:80", 1 },
		"bounds.config_apply_ms": func(s *Managed) { s.Bounds.ConfigApplyMS = -1 },
	} {
		t.Run(field, func(t *testing.T) {
			check := is.New(t)
			data, err := json.Marshal(validManaged())
			check.NoErr(err)
			path := filepath.Join(t.TempDir(), "settings.json")
			check.NoErr(os.WriteFile(path, data, 0o600))
			s, err := LoadManaged(path, set)
			if field == "" {
				check.NoErr(err)
				check.Equal(s.MemoryMB, 184)
				return
			}
			check.True(err != nil)
			check.Equal(invalidFields(err), map[string]bool{field: true})
		})
	}
}
