package pomelocommand

import (
	"context"
	"fmt"
	"strings"
	"time"

	"github.com/pomelorelay/pomelorelay/pomeloconfig"

	"github.com/alecthomas/kingpin/v2"
)

func (a *app) auditCommand(cli *kingpin.Application) (*kingpin.CmdClause, action) {
	clause := a.storeFlag(cli.Command("audit", "Lists the accepted changes, newest first, with author, time, reason and differences."))
	limit := clause.Flag("limit", "Maximum number of changes listed; 0 lists all.").Default("20").Int()
	return clause, func(ctx context.Context) error {
		store, err := a.openStore()
		if err != nil {
			return err
		}
		entries, auditErr := pomeloconfig.Audit(ctx, store, pomeloconfig.AuditOptions{Limit: *limit})
		if err := a.print(entries, formatAudit(entries)); err != nil {
			return err
		}
		return auditErr
	}
}

func formatAudit(entries []pomeloconfig.AuditEntry) string {
	var text strings.Builder
	for _, entry := range entries {
		r := entry.Root
		fmt.Fprintf(&text, "%d  %s  %s  change %s\n    why: %s\n    %d added, %d removed, %d altered\n",
			r.Generation, r.Time.UTC().Format(time.RFC3339), r.Author, r.ChangeID, r.Why, r.Difference.Added, r.Difference.Removed, r.Difference.Altered)
		for _, line := range r.Difference.Lines {
			fmt.Fprintf(&text, "      %s\n", line)
		}
	}
	return text.String()
}
