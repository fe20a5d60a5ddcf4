package controlstate

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// applyJoin adds a member, replacing an earlier incarnation of the same
// instance. The new incarnation takes over the homes of the earlier one,
// because the engine keeps its loaded checkpoints when its agent restarts.
func (v *View) applyJoin(j record.MemberJoin) ApplyResult {
	if j.Instance == "" || j.Incarnation == "" {
		return rejected("join without instance or incarnation")
	}
	old, ok := v.Members.Get(j.Instance)
	if ok && old.Incarnation == j.Incarnation {
		return rejected("incarnation has already joined")
	}
	v.Members = v.Members.With(j.Instance, Member{MemberJoin: j, JoinOffset: v.Offset})
	to := record.InstanceRef{Instance: j.Instance, Incarnation: j.Incarnation}
	v.rewriteHomes(j.Instance, func(h Homes) Homes { return replaceIncarnation(h, to) })
	return applied()
}

// applyGone removes a member. If the instance was removed for good, its homes
// are removed too, because it no longer holds any checkpoint. A silent or
// drained instance may still hold checkpoints, so its homes become releasing
// and count against the maximum of replicas until it joins again or is removed.
func (v *View) applyGone(g record.MemberGone) ApplyResult {
	old, ok := v.Members.Get(g.Instance)
	if ok && old.Incarnation != g.Incarnation {
		return rejected("incarnation is not the live one")
	}
	if !ok && g.Reason != record.GoneRemoved {
		return rejected("instance is not a member")
	}
	v.Members = v.Members.Without(g.Instance)
	if g.Reason == record.GoneRemoved {
		v.rewriteHomes(g.Instance, func(h Homes) Homes { return removeInstance(h, g.Instance) })
		v.CheckpointsByInstance = v.CheckpointsByInstance.Without(g.Instance)
		return applied()
	}
	v.rewriteHomes(g.Instance, func(h Homes) Homes { return moveToReleasing(h, g.Instance) })
	return applied()
}

// rewriteHomes applies change to the homes of every checkpoint that has the
// instance as active or releasing home.
func (v *View) rewriteHomes(instance string, change func(Homes) Homes) {
	checkpoints, _ := v.CheckpointsByInstance.Get(instance)
	for _, cp := range checkpoints {
		h, _ := v.Homes.Get(cp)
		v.Homes = v.Homes.With(cp, change(h))
	}
}

// replaceIncarnation points all references to the instance of to at its new
// incarnation.
func replaceIncarnation(h Homes, to record.InstanceRef) Homes {
	replace := func(refs []record.InstanceRef) []record.InstanceRef {
		out := make([]record.InstanceRef, len(refs))
		for i, r := range refs {
			if r.Instance == to.Instance {
				r = to
			}
			out[i] = r
		}
		return out
	}
	h.Active = replace(h.Active)
	h.Releasing = replace(h.Releasing)
	return h
}

func removeInstance(h Homes, instance string) Homes {
	keep := func(refs []record.InstanceRef) []record.InstanceRef {
		out := make([]record.InstanceRef, 0, len(refs))
		for _, r := range refs {
			if r.Instance != instance {
				out = append(out, r)
			}
		}
		return out
	}
	h.Active = keep(h.Active)
	h.Releasing = keep(h.Releasing)
	return h
}

// moveToReleasing turns an active home at the instance into a releasing one.
func moveToReleasing(h Homes, instance string) Homes {
	for _, r := range h.Active {
		if r.Instance == instance {
			next := removeInstance(h, instance)
			next.Releasing = append(next.Releasing, r)
			return next
		}
	}
	return h
}
