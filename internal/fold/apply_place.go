package fold

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/platform"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// MaxReplicas returns the decided bound for a checkpoint, 0 for an unknown one.
func (v *View) MaxReplicas(checkpoint string) int {
	modelID, adapterID, isAdapter := strings.Cut(checkpoint, ":")
	if isAdapter {
		a, ok := v.Adapters.Get(adapterID)
		// An adapter under the name of another model would be counted twice.
		return bound(a.MaxReplicas, ok && a.Model == modelID)
	}
	m, ok := v.Models.Get(checkpoint)
	return bound(m.MaxReplicas, ok)
}

func bound(configured int, known bool) int {
	if !known {
		return 0
	}
	return max(1, configured)
}

// applyHomes judges each entry alone: a stale or excessive entry is void and
// leaves the others.
func (v *View) applyHomes(p record.PlaceHomes) Verdict {
	var refused []string
	for _, entry := range p.Entries {
		if err := v.setHomes(entry); err != nil {
			refused = append(refused, entry.Checkpoint+": "+err.Error())
		}
	}
	if len(refused) == len(p.Entries) {
		return void(strings.Join(refused, "; "))
	}
	return Verdict{Applied: true, Reason: strings.Join(refused, "; ")}
}

func (v *View) setHomes(entry record.HomeAssignment) error {
	old, _ := v.Homes.Get(entry.Checkpoint)
	if entry.Base != old.Offset {
		return fmt.Errorf("based on homes of offset %d, but offset %d is in force", entry.Base, old.Offset)
	}
	if err := v.checkHomes(entry.Homes); err != nil {
		return err
	}
	next := Homes{Offset: v.Offset, Active: entry.Homes}
	for _, ref := range append(slices.Clone(old.Active), old.Releasing...) {
		if !slices.Contains(entry.Homes, ref) {
			next.Releasing = append(next.Releasing, ref)
		}
	}
	// A releasing home may still hold the checkpoint, so it counts against H1. A
	// change that only removes homes adds no holder and is always allowed.
	if total := len(next.Active) + len(next.Releasing); adds(old, entry.Homes) && total > v.MaxReplicas(entry.Checkpoint) {
		return fmt.Errorf("%d homes, releasing ones included, exceed the maximum of %d replicas", total, v.MaxReplicas(entry.Checkpoint))
	}
	v.Homes = v.Homes.With(entry.Checkpoint, next)
	for _, ref := range entry.Homes {
		v.indexHome(ref.Instance, entry.Checkpoint)
	}
	return nil
}

// checkHomes demands distinct live agents.
func (v *View) checkHomes(homes []record.InstanceRef) error {
	for i, ref := range homes {
		m, ok := v.Members.Get(ref.Instance)
		if !ok || m.Incarnation != ref.Incarnation {
			return fmt.Errorf("home %s is not a live incarnation", ref.Instance)
		}
		if m.Role == record.RoleEntry {
			return fmt.Errorf("home %s is an entry instance", ref.Instance)
		}
		if slices.Contains(homes[:i], ref) {
			return fmt.Errorf("home %s is named twice", ref.Instance)
		}
	}
	return nil
}

// adds reports whether homes has one that is not active in old.
func adds(old Homes, homes []record.InstanceRef) bool {
	return slices.ContainsFunc(homes, func(ref record.InstanceRef) bool { return !old.Has(ref) })
}

func (v *View) indexHome(instance, checkpoint string) {
	list, _ := v.CheckpointsAt.Get(instance)
	if slices.Contains(list, checkpoint) {
		return
	}
	v.CheckpointsAt = v.CheckpointsAt.With(instance, append(slices.Clone(list), checkpoint))
}

func (v *View) applyReleased(r record.PlaceReleased) Verdict {
	m, ok := v.Members.Get(r.Home.Instance)
	if !ok || m.Incarnation != r.Home.Incarnation {
		return void("reported by an incarnation that is not live")
	}
	for _, cp := range r.Checkpoints {
		v.releaseOne(cp, r.Home, r.AsOf)
	}
	return applied()
}

func (v *View) releaseOne(checkpoint string, ref record.InstanceRef, asOf platform.Offset) {
	h, ok := v.Homes.Get(checkpoint)
	if !ok || h.Has(ref) || h.Offset > asOf {
		return
	}
	h.Releasing = slices.DeleteFunc(slices.Clone(h.Releasing), func(r record.InstanceRef) bool { return r == ref })
	v.Homes = v.Homes.With(checkpoint, h)
	list, _ := v.CheckpointsAt.Get(ref.Instance)
	rest := slices.DeleteFunc(slices.Clone(list), func(c string) bool { return c == checkpoint })
	v.CheckpointsAt = v.CheckpointsAt.With(ref.Instance, rest)
}
