package replica

import (
	"slices"

	"oleanderlever/core"
)

// form asks every host that the settings name as a keeper whether it is empty too. Only when all of them are does the
// first in order form the keeper set: a folder that was lost later meets a keeper that has formed, and stays a learner.
func (p *part) form(t *core.Turn) {
	if len(p.first) == 0 || p.first[0] != p.self {
		return
	}
	p.forming = map[core.HostID]core.DiskID{p.self: p.disk}
	for _, h := range p.first[1:] {
		t.Send(h, core.FormAsk{Disk: p.disk})
	}
	p.tryForm(t)
}

func (p *part) formReplied(t *core.Turn, from core.HostID, m core.FormReply) {
	if p.formed() || p.forming == nil || !slices.Contains(p.first, from) {
		return
	}
	if m.Formed {
		p.forming = nil
		return
	}
	p.forming[from] = m.Disk
	p.tryForm(t)
}

func (p *part) tryForm(t *core.Turn) {
	var set core.KeeperSet
	for _, h := range p.first {
		disk, ok := p.forming[h]
		if !ok {
			return
		}
		set.Members = append(set.Members, core.Keeper{Host: h, Disk: disk, Voter: true})
	}
	p.takeFormed(t, set)
}

// takeFormed stores the first keeper set as entry one, the same on every member.
func (p *part) takeFormed(t *core.Turn, set core.KeeperSet) {
	mine := slices.Contains(set.Members, core.Keeper{Host: p.self, Disk: p.disk, Voter: true})
	if p.formed() || p.log.last() > 0 || !mine {
		return
	}
	p.hard = core.HardState{Epoch: 1}
	first := core.Entry{Index: 1, Epoch: 1, Kind: core.EntryKeepers, Keepers: set}
	p.log.entries = []core.Entry{first}
	p.store(t, p.log.entries)
	p.resetElection(t)
}

// formedDurable lets the host that formed the set tell the others, once its own copy is durable.
func (p *part) formedDurable(t *core.Turn) {
	if p.forming == nil || p.durable < 1 {
		return
	}
	p.forming = nil
	p.repeatFormed(t)
	p.election = t.Now
}

// repeatFormed tells the first keeper set again while it is all that the log holds.
func (p *part) repeatFormed(t *core.Turn) {
	if p.log.last() != 1 {
		return
	}
	set, _ := p.log.keeperSet()
	for _, k := range set.Members {
		if k.Host != p.self {
			t.Send(k.Host, core.Formed{Keepers: set})
		}
	}
}

// repairKeepers makes at most one change of the keeper set at a time: a keeper that came back with another folder is
// added as a learner; when it holds everything durably the old folder loses its vote, and then the new one gets it.
// Swapping both in one entry was rejected: the majorities before and after need not share a keeper.
func (p *part) repairKeepers(t *core.Turn) {
	set, at := p.log.keeperSet()
	if at > p.commit || !p.ready {
		return
	}
	next, ok := p.nextKeepers(t, set)
	if !ok {
		return
	}
	t.Decide(core.Decision{Part: "replica", Choice: "keeperSet", Reason: "a keeper has another data folder", Target: string(p.self)})
	p.appendOwn(t, core.Entry{Kind: core.EntryKeepers, Keepers: next})
	p.sendEntries(t)
}

func (p *part) nextKeepers(t *core.Turn, set core.KeeperSet) (core.KeeperSet, bool) {
	members := slices.Clone(set.Members)
	for i, k := range members {
		if k.Voter || !p.caughtUp(t, k) {
			continue
		}
		old := slices.IndexFunc(members, func(o core.Keeper) bool { return o.Host == k.Host && o.Voter })
		if old >= 0 {
			return core.KeeperSet{Members: slices.Delete(members, old, old+1)}, true
		}
		members[i].Voter = true
		return core.KeeperSet{Members: members}, true
	}
	for _, m := range p.members {
		if m.Disk == "" || m.State != core.MemberAlive || !p.wantsLearner(members, m) {
			continue
		}
		members = slices.DeleteFunc(members, func(k core.Keeper) bool { return k.Host == m.Host && !k.Voter })
		delete(p.peers, m.Host)
		return core.KeeperSet{Members: append(members, core.Keeper{Host: m.Host, Disk: m.Disk})}, true
	}
	return core.KeeperSet{}, false
}

// wantsLearner reports whether a keeper is known to the set, but not with the folder that it has now.
func (p *part) wantsLearner(members []core.Keeper, m core.Member) bool {
	known := slices.ContainsFunc(members, func(k core.Keeper) bool { return k.Host == m.Host })
	same := slices.ContainsFunc(members, func(k core.Keeper) bool { return k.Host == m.Host && k.Disk == m.Disk })
	return known && !same && m.Host != p.self
}

// caughtUp reports whether a learner answers and holds everything that is committed.
func (p *part) caughtUp(t *core.Turn, k core.Keeper) bool {
	return p.idleFor(t, k.Host) < MinElection && p.matchOf(k) >= p.commit
}
