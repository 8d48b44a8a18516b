package core

import "time"

// maxCount bounds every token count and every list that comes from another host.
const (
	maxCount = Tokens(1 << 40)
	maxList  = 1 << 17
	maxSpan  = 24 * time.Hour
)

// CheckMessage returns a KindBadRequest error for a decoded message whose fields are out of range.
func CheckMessage(m Message) error {
	switch m := m.(type) {
	case Ping:
		return checkMembers(append(m.News, m.From))
	case Pong:
		return checkMembers(append(m.News, m.From))
	case Append:
		return checkEntries(m.PrevIndex, m.Entries)
	case CommandAsk:
		if err := CheckName("command.id", string(m.Command.ID)); err != nil {
			return err
		}
		return m.Command.Change.Check()
	case LeaseGrant:
		if m.For <= 0 || m.For > maxSpan || m.Renew <= 0 || m.Renew > maxSpan {
			return Fail(KindBadRequest, "lease: time out of range")
		}
		for i := range m.Changes {
			if err := m.Changes[i].Check(); err != nil {
				return err
			}
		}
	case OnceAsk:
		return m.Record.check()
	case QuotaAsk:
		return m.check()
	case QuotaGrant:
		return m.check()
	case PlaceAsk:
		return m.check()
	case Claim:
		return m.Ask.check()
	case UpstreamNews:
		return m.check()
	case ShiftWanted:
		return m.Assignment.check()
	case UpstreamList:
		return m.check()
	case OrderWanted:
		return m.Announcement.Check()
	}
	return nil
}

func checkMembers(list []Member) error {
	for i := range list {
		if err := CheckName("member.host", string(list[i].Host)); err != nil {
			return err
		}
		if !list[i].Addr.IsValid() || list[i].State < MemberAlive || list[i].State > MemberDead {
			return Fail(KindBadRequest, "member %s: address or state out of range", list[i].Host)
		}
	}
	return nil
}

func checkEntries(prev Index, list []Entry) error {
	for i := range list {
		if list[i].Index != prev+Index(i)+1 {
			return Fail(KindBadRequest, "entry %d does not follow %d", list[i].Index, prev)
		}
		if list[i].Kind < EntryNoop || list[i].Kind > EntryKeepers {
			return Fail(KindBadRequest, "entry kind %d is not known", list[i].Kind)
		}
	}
	return nil
}

func (r *OnceRecord) check() error {
	if r.Key == "" || r.State < OnceIntent || r.State > OnceNotRun {
		return Fail(KindBadRequest, "once record: key or state out of range")
	}
	return CheckName("once.host", string(r.Host))
}

func (m *QuotaAsk) check() error {
	for _, l := range m.Lines {
		for _, n := range []Tokens{l.Need, l.Want, l.Unused, l.Spent, l.Refund} {
			if n < 0 || n > maxCount {
				return Fail(KindBadRequest, "quota: %d tokens are out of range", n)
			}
		}
	}
	return nil
}

func (m *QuotaGrant) check() error {
	for _, l := range m.Lines {
		if l.Lent < 0 || l.Lent > maxCount {
			return Fail(KindBadRequest, "quota: %d tokens are out of range", l.Lent)
		}
	}
	return nil
}

func (m *PlaceAsk) check() error {
	if m.Attempt.Request == "" || m.Weight < 1 || m.Weight > maxWeight {
		return Fail(KindBadRequest, "place: attempt or weight out of range")
	}
	if m.Prompt < 0 || m.Prompt > maxCount || m.Output < 0 || m.Output > maxCount || len(m.Blocks) > maxList {
		return Fail(KindBadRequest, "place: lengths out of range")
	}
	if m.Left < 0 || m.Left > maxSpan || m.Waited < 0 || m.Waited > maxSpan {
		return Fail(KindBadRequest, "place: time left out of range")
	}
	return CheckName("place.pool", string(m.Pool))
}

func (m *UpstreamNews) check() error {
	if m.Announcement != nil {
		return m.Announcement.Check()
	}
	if m.Report != nil {
		return m.Report.Check()
	}
	return Fail(KindBadRequest, "upstream news: empty")
}

func (m *UpstreamList) check() error {
	for i := range m.Heard {
		if err := m.Heard[i].Announcement.Check(); err != nil {
			return err
		}
		if m.Heard[i].Age < 0 || m.Heard[i].Age > maxSpan {
			return Fail(KindBadRequest, "upstream list: age out of range")
		}
	}
	return nil
}
