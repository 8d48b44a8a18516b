package console

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
	"time"

	"oleanderlever/io/operator"
)

// printTable prints a heading and rows in aligned columns.
func printTable(w io.Writer, heading string, rows func(row func(format string, args ...any))) {
	t := tabwriter.NewWriter(w, 0, 8, 2, ' ', 0)
	_, _ = fmt.Fprintln(t, heading)
	rows(func(format string, args ...any) { _, _ = fmt.Fprintf(t, format+"\n", args...) })
	_ = t.Flush()
	_, _ = fmt.Fprintln(w)
}

func printStatus(w io.Writer, s *operator.StatusReply) {
	_, _ = fmt.Fprintf(w, "leader %s, epoch %d, version %d, in force everywhere %d\n\n", s.GetLeader(), s.GetEpoch(), s.GetVersion(), s.GetInForce())
	printTable(w, "HOST\tVERSION\tLEASE LEFT", func(row func(string, ...any)) {
		for _, h := range s.GetHolders() {
			row("%s\t%d\t%v", h.GetHost(), h.GetVersion(), time.Duration(h.GetLeaseLeftMillis())*time.Millisecond)
		}
	})
	printTable(w, "KEEPER\tDISK\tVOTER", func(row func(string, ...any)) {
		for _, k := range s.GetKeepers() {
			row("%s\t%s\t%t", k.GetHost(), k.GetDisk(), k.GetVoter())
		}
	})
	printTable(w, "EVACUATED DATA CENTRE", func(row func(string, ...any)) {
		for _, d := range s.GetEvacuated() {
			row("%s", d)
		}
	})
	printTable(w, "ACCOUNT\tWEIGHT\tRATE\tBURST", func(row func(string, ...any)) {
		for _, a := range s.GetAccounts() {
			row("%s\t%d\t%d\t%d", a.GetId(), a.GetWeight(), a.GetRate(), a.GetBurst())
		}
	})
	printTable(w, "KEY\tACCOUNT", func(row func(string, ...any)) {
		for _, k := range s.GetKeys() {
			row("%s\t%s", k.GetId(), k.GetAccount())
		}
	})
	printTable(w, "ROUTE\tPATH\tPOOL\tOPEN\tREPEATABLE\tACCOUNTS", func(row func(string, ...any)) {
		for _, r := range s.GetRoutes() {
			row("%s\t%s\t%s\t%t\t%t\t%s", r.GetName(), r.GetPath(), r.GetPool(), r.GetOpen(), r.GetRepeatable(), accountList(r.GetAccounts()))
		}
	})
	printTable(w, "MODEL\tMAX OUTPUT\tACCOUNTS", func(row func(string, ...any)) {
		for _, m := range s.GetModels() {
			row("%s\t%d\t%s", m.GetId(), m.GetMaxOutput(), accountList(m.GetAccounts()))
		}
	})
}

func accountList(accounts []string) string {
	if len(accounts) == 0 {
		return "all"
	}
	return strings.Join(accounts, ",")
}

func printHistory(w io.Writer, s *operator.StatusReply) {
	printTable(w, "AT\tOPERATOR\tVERSION\tCHANGE\tREFUSED", func(row func(string, ...any)) {
		for _, c := range s.GetHistory() {
			at := time.UnixMilli(c.GetAtUnixMillis()).UTC().Format(time.RFC3339)
			row("%s\t%s\t%d\t%s\t%s", at, c.GetOperator(), c.GetVersion(), c.GetSummary(), c.GetRefused())
		}
	})
}
