package operator

import (
	"time"

	"oleanderlever/core"
)

// toCommand converts a request to a command of the core.
func toCommand(r *ApplyRequest, operator string) (core.Command, error) {
	if err := core.ValidateName("command_id", r.GetCommandId()); err != nil {
		return core.Command{}, err
	}
	// The core would execute an evacuation without the version check.
	if core.ConfigVersion(r.GetExpectVersion()) == core.AnyVersion {
		return core.Command{}, core.Fail(core.KindBadRequest, "expect_version: %d is not a configuration version", r.GetExpectVersion())
	}
	c, err := toChange(r.GetChange())
	return core.Command{
		ID: core.CommandID(r.GetCommandId()), ExpectedVersion: core.ConfigVersion(r.GetExpectVersion()), Change: c, Operator: operator,
	}, err
}

func toChange(c *Change) (core.Change, error) {
	switch v := c.GetChange().(type) {
	case *Change_PutAccount:
		return core.Change{Kind: core.ChangePutAccount, Account: toAccount(v.PutAccount)}, nil
	case *Change_DeleteAccount:
		return core.Change{Kind: core.ChangeDeleteAccount, Account: core.Account{ID: core.AccountID(v.DeleteAccount)}}, nil
	case *Change_AddKey:
		return toKeyChange(v.AddKey)
	case *Change_WithdrawKey:
		return core.Change{Kind: core.ChangeRevokeKey, Key: core.APIKey{ID: core.KeyID(v.WithdrawKey)}}, nil
	case *Change_PutRoute:
		return core.Change{Kind: core.ChangePutRoute, Route: toRoute(v.PutRoute)}, nil
	case *Change_DeleteRoute:
		return core.Change{Kind: core.ChangeDeleteRoute, Route: core.Route{Name: v.DeleteRoute}}, nil
	case *Change_PutModel:
		return core.Change{Kind: core.ChangePutModel, Model: toModel(v.PutModel)}, nil
	case *Change_DeleteModel:
		return core.Change{Kind: core.ChangeDeleteModel, Model: core.Model{ID: core.PoolID(v.DeleteModel)}}, nil
	case *Change_PutAssignment:
		return core.Change{Kind: core.ChangePutAssignment, Assignment: toAssignment(v.PutAssignment)}, nil
	case *Change_DeleteAssignment:
		return core.Change{Kind: core.ChangeDeleteAssignment, Assignment: core.Assignment{Upstream: core.UpstreamID(v.DeleteAssignment)}}, nil
	case *Change_PutPolicy:
		return core.Change{Kind: core.ChangePutPolicy, Policy: toPolicy(v.PutPolicy)}, nil
	case *Change_Evacuate:
		return core.Change{Kind: core.ChangeEvacuate, DataCentre: core.DataCentre(v.Evacuate)}, nil
	case *Change_EndEvacuation:
		return core.Change{Kind: core.ChangeEndEvacuation, DataCentre: core.DataCentre(v.EndEvacuation)}, nil
	}
	return core.Change{}, core.Fail(core.KindBadRequest, "change: missing")
}

func toAccount(a *Account) core.Account {
	return core.Account{
		ID: core.AccountID(a.GetId()), Weight: int(a.GetWeight()),
		Rate: core.Tokens(a.GetRate()), Burst: core.Tokens(a.GetBurst()),
	}
}

func toKeyChange(k *Key) (core.Change, error) {
	out := core.APIKey{ID: core.KeyID(k.GetId()), Account: core.AccountID(k.GetAccount())}
	if len(k.GetHash()) != len(out.Hash) {
		return core.Change{}, core.Fail(core.KindBadRequest, "key.hash: want %d bytes", len(out.Hash))
	}
	copy(out.Hash[:], k.GetHash())
	return core.Change{Kind: core.ChangeAddKey, Key: out}, nil
}

func toRoute(r *Route) core.Route {
	return core.Route{
		Name: r.GetName(), Path: r.GetPath(), Pool: core.PoolID(r.GetPool()), Public: r.GetOpen(),
		Idempotent: r.GetRepeatable(), Accounts: toAccounts(r.GetAccounts()), Cost: core.Tokens(r.GetCost()),
		Timeout: time.Duration(r.GetTimeoutMillis()) * time.Millisecond,
	}
}

func toModel(m *Model) core.Model {
	return core.Model{ID: core.PoolID(m.GetId()), MaxOutput: core.Tokens(m.GetMaxOutput()), Accounts: toAccounts(m.GetAccounts())}
}

func toPolicy(p *UpstreamPolicy) core.UpstreamPolicy {
	out := core.UpstreamPolicy{Pool: core.PoolID(p.GetPool()), ChecksSender: p.GetChecksSender(), ChecksFencing: p.GetChecksFencing(), AutoRoles: p.GetAutoRoles()}
	for _, id := range p.GetDrained() {
		out.Drained = append(out.Drained, core.UpstreamID(id))
	}
	return out
}

func toAssignment(a *Assignment) core.Assignment {
	return core.Assignment{
		Upstream: core.UpstreamID(a.GetUpstream()), Pool: core.PoolID(a.GetPool()), Role: core.Role(a.GetRole()),
		ModelVersion: a.GetVersion(), Adapter: a.GetAdapter(),
	}
}

func toAccounts(ids []string) []core.AccountID {
	var out []core.AccountID
	for _, id := range ids {
		out = append(out, core.AccountID(id))
	}
	return out
}

func fromAccounts(ids []core.AccountID) []string {
	var out []string
	for _, id := range ids {
		out = append(out, string(id))
	}
	return out
}

// fromStatus converts a status of the core to a response, without the hashes of API keys.
func fromStatus(s *core.Status, self core.HostID) *StatusReply {
	r := &StatusReply{
		Leader: string(s.Leader), Epoch: uint64(s.Epoch), Version: uint64(s.Version),
		InForce: uint64(s.ActiveVersion), AnsweredBy: string(self),
	}
	for _, h := range s.Leases {
		r.Holders = append(r.Holders, &Holder{Host: string(h.Host), Version: uint64(h.Version), LeaseLeftMillis: h.Remaining.Milliseconds()})
	}
	for _, k := range s.Replicas {
		r.Keepers = append(r.Keepers, &Keeper{Host: string(k.Host), Disk: string(k.Disk), Voter: k.Voter})
	}
	for i := range s.History {
		r.History = append(r.History, fromResult(&s.History[i]))
	}
	addConfig(r, &s.Config)
	return r
}

func fromResult(c *core.CommandResult) *Command {
	out := &Command{
		Id: string(c.ID), Operator: c.Operator, Summary: c.Summary, Version: uint64(c.Version), AtUnixMillis: c.ReceivedAt.UnixMilli(),
	}
	if c.Failure != nil {
		out.Refused = c.Failure.Kind.String()
	}
	return out
}

func addConfig(r *StatusReply, c *core.Config) {
	for _, d := range c.Evacuated {
		r.Evacuated = append(r.Evacuated, string(d))
	}
	for _, a := range c.Accounts {
		r.Accounts = append(r.Accounts, &Account{Id: string(a.ID), Weight: int32(a.Weight), Rate: int64(a.Rate), Burst: int64(a.Burst)})
	}
	for _, k := range c.Keys {
		r.Keys = append(r.Keys, &Key{Id: string(k.ID), Account: string(k.Account)})
	}
	for _, x := range c.Routes {
		r.Routes = append(r.Routes, &Route{
			Name: x.Name, Path: x.Path, Pool: string(x.Pool), Open: x.Public, Repeatable: x.Idempotent,
			Accounts: fromAccounts(x.Accounts), Cost: int64(x.Cost), TimeoutMillis: x.Timeout.Milliseconds(),
		})
	}
	for _, m := range c.Models {
		r.Models = append(r.Models, &Model{Id: string(m.ID), MaxOutput: int64(m.MaxOutput), Accounts: fromAccounts(m.Accounts)})
	}
	for _, a := range c.Assignments {
		r.Assignments = append(r.Assignments, &Assignment{
			Upstream: string(a.Upstream), Pool: string(a.Pool), Role: string(a.Role), Version: a.ModelVersion, Adapter: a.Adapter,
		})
	}
	for _, p := range c.Policies {
		out := &UpstreamPolicy{
			Pool: string(p.Pool), ChecksSender: p.ChecksSender, ChecksFencing: p.ChecksFencing, AutoRoles: p.AutoRoles,
		}
		for _, id := range p.Drained {
			out.Drained = append(out.Drained, string(id))
		}
		r.Policies = append(r.Policies, out)
	}
}
