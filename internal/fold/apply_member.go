package fold

import (
	"github.com/jacinthbend/jacinthbend/internal/record"
)

// applyJoin ends the earlier incarnation of the same instance. Its homes pass
// to the new incarnation: an agent's restart leaves its engine's memory as it
// was.
func (v *View) applyJoin(j record.MemberJoin) Verdict {
	if j.Instance == "" || j.Incarnation == "" {
		return void("join without instance or incarnation")
	}
	old, ok := v.Members.Get(j.Instance)
	if ok && old.Incarnation == j.Incarnation {
		return void("incarnation has already joined")
	}
	v.Members = v.Members.With(j.Instance, Member{MemberJoin: j, Joined: v.Offset})
	to := record.InstanceRef{Instance: j.Instance, Incarnation: j.Incarnation}
	v.rewriteHomes(j.Instance, func(h Homes) Homes { return rename(h, to) })
	return applied()
}

// applyGone removes the incarnation. A removed instance holds nothing any
// more; a silent or drained one may, so its homes stay counted as releasing
// until it joins again or is removed.
func (v *View) applyGone(g record.MemberGone) Verdict {
	old, ok := v.Members.Get(g.Instance)
	if ok && old.Incarnation != g.Incarnation {
		return void("incarnation is not the live one")
	}
	if !ok && g.Reason != record.GoneRemoved {
		return void("instance is not a member")
	}
	v.Members = v.Members.Without(g.Instance)
	if g.Reason == record.GoneRemoved {
		v.rewriteHomes(g.Instance, func(h Homes) Homes { return drop(h, g.Instance) })
		v.CheckpointsAt = v.CheckpointsAt.Without(g.Instance)
		return applied()
	}
	v.rewriteHomes(g.Instance, func(h Homes) Homes { return release(h, g.Instance) })
	return applied()
}

func (v *View) rewriteHomes(instance string, change func(Homes) Homes) {
	checkpoints, _ := v.CheckpointsAt.Get(instance)
	for _, cp := range checkpoints {
		h, _ := v.Homes.Get(cp)
		v.Homes = v.Homes.With(cp, change(h))
	}
}

func rename(h Homes, to record.InstanceRef) Homes {
	swap := func(refs []record.InstanceRef) []record.InstanceRef {
		out := make([]record.InstanceRef, len(refs))
		for i, r := range refs {
			if r.Instance == to.Instance {
				r = to
			}
			out[i] = r
		}
		return out
	}
	h.Active = swap(h.Active)
	h.Releasing = swap(h.Releasing)
	return h
}

func drop(h Homes, instance string) Homes {
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

func release(h Homes, instance string) Homes {
	for _, r := range h.Active {
		if r.Instance == instance {
			kept := drop(h, instance)
			kept.Releasing = append(kept.Releasing, r)
			return kept
		}
	}
	return h
}
