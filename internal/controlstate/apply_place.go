package controlstate

import (
	"fmt"
	"slices"
	"strings"

	"github.com/jacinthbend/jacinthbend/internal/backing"
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// MaxReplicas returns the configured maximum of replicas of a checkpoint, at
// least 1, or 0 for an unknown checkpoint.
func (v *View) MaxReplicas(checkpoint string) int {
	modelID, adapterID, isAdapter := strings.Cut(checkpoint, ":")
	if isAdapter {
		a, ok := v.Adapters.Get(adapterID)
		// "model:adapter" must name the adapter's own model. Otherwise replicas of one
		// adapter under several models would each have the full maximum.
		return replicaLimit(a.MaxReplicas, ok && a.Model == modelID)
	}
	m, ok := v.Models.Get(checkpoint)
	return replicaLimit(m.MaxReplicas, ok)
}

func replicaLimit(configured int, known bool) int {
	if !known {
		return 0
	}
	return max(1, configured)
}

// applyHomes checks and applies each entry on its own: an entry that is stale
// or exceeds the maximum of replicas does not affect the others. The record is
// rejected only if all its entries are.
func (v *View) applyHomes(p record.PlaceHomes) ApplyResult {
	var refusals []string
	for _, entry := range p.Entries {
		if err := v.setHomes(entry); err != nil {
			refusals = append(refusals, entry.Checkpoint+": "+err.Error())
		}
	}
	if len(refusals) == len(p.Entries) {
		return rejected(strings.Join(refusals, "; "))
	}
	return ApplyResult{Applied: true, Reason: strings.Join(refusals, "; ")}
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
	// A releasing home may still hold the checkpoint, so it counts against the
	// maximum of replicas (H1). A change that only removes homes adds no replica
	// and is always allowed, even when the maximum has been lowered.
	if total := len(next.Active) + len(next.Releasing); addsHome(old, entry.Homes) && total > v.MaxReplicas(entry.Checkpoint) {
		return fmt.Errorf("%d homes, releasing ones included, exceed the maximum of %d replicas", total, v.MaxReplicas(entry.Checkpoint))
	}
	v.Homes = v.Homes.With(entry.Checkpoint, next)
	for _, ref := range entry.Homes {
		v.indexHome(ref.Instance, entry.Checkpoint)
	}
	return nil
}

// checkHomes returns an error unless homes are distinct, live and agents.
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

// addsHome reports whether homes contains one that is not active in old.
func addsHome(old Homes, homes []record.InstanceRef) bool {
	return slices.ContainsFunc(homes, func(ref record.InstanceRef) bool { return !old.HasActive(ref) })
}

// indexHome adds the checkpoint to those listed for the instance.
func (v *View) indexHome(instance, checkpoint string) {
	list, _ := v.CheckpointsByInstance.Get(instance)
	if slices.Contains(list, checkpoint) {
		return
	}
	v.CheckpointsByInstance = v.CheckpointsByInstance.With(instance, append(slices.Clone(list), checkpoint))
}

// applyReleased applies an agent's report that its upstream no longer holds
// the checkpoints.
func (v *View) applyReleased(r record.PlaceReleased) ApplyResult {
	m, ok := v.Members.Get(r.Home.Instance)
	if !ok || m.Incarnation != r.Home.Incarnation {
		return rejected("reported by an incarnation that is not live")
	}
	for _, cp := range r.Checkpoints {
		v.removeReleasing(cp, r.Home, r.AsOf)
	}
	return applied()
}

// removeReleasing removes a releasing home unless the home is active again or
// the homes changed after asOf, the offset up to which the reporting agent had
// read the log. In both cases the agent may have loaded the checkpoint again.
func (v *View) removeReleasing(checkpoint string, ref record.InstanceRef, asOf backing.Offset) {
	h, ok := v.Homes.Get(checkpoint)
	if !ok || h.HasActive(ref) || h.Offset > asOf {
		return
	}
	h.Releasing = slices.DeleteFunc(slices.Clone(h.Releasing), func(r record.InstanceRef) bool { return r == ref })
	v.Homes = v.Homes.With(checkpoint, h)
	list, _ := v.CheckpointsByInstance.Get(ref.Instance)
	remaining := slices.DeleteFunc(slices.Clone(list), func(c string) bool { return c == checkpoint })
	v.CheckpointsByInstance = v.CheckpointsByInstance.With(ref.Instance, remaining)
}
