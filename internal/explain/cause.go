package explain

import (
	"fmt"
	"strings"

	"ibisline/internal/verdict"
)

// causes says in words what a reason means for a request of a gateway.
var causes = map[verdict.Reason]string{
	verdict.BadRequest:     "the request is malformed; the error names the field",
	verdict.BodyTooLarge:   "its body exceeds the configuration's limit",
	verdict.UnknownRoute:   "the configuration in force has no route for it",
	verdict.CatalogueStale: "the gateway knew no configuration yet",
	verdict.BudgetSpent:    "its program has not enough tokens left for the most that the turn may generate",
	verdict.NoServer:       "no backend server took it: those that were asked said that they did not run it, or nobody listened",
	verdict.Quarantined:    "requests of this content crash the servers that run them",
	verdict.NotHome:        "the home of its program's budget was being replaced",
	verdict.PeerLost:       "the home of its program's budget was out of reach",
	verdict.PlatformDown:   "its program's tokens could be written neither to the platform nor to enough keepers",
	verdict.BackendFailed:  "a backend server broke the connection, or what it sent was no whole answer",
	verdict.BackendTimeout: "no answer came before the caller's deadline or the route's timeout",
	verdict.Canceled:       "the caller left",
}

// causeOf says in one sentence how a request ended and why.
func causeOf(end Record) string {
	status, _ := end.Fields["status"].(float64)
	reason := end.text("reason")
	if reason == "" {
		return fmt.Sprintf("answered by a backend server with %.0f", status)
	}
	text := causes[verdict.Reason(reason)]
	if text == "" {
		text = "reason " + reason
	}
	outcome := fmt.Sprintf("answered %.0f", status)
	if status == 0 {
		outcome = "connection ended"
	}
	return strings.Join([]string{outcome, ranIn[end.text("verdict")], text}, "; ")
}

// ranIn says in words what a verdict means, by its form in logs.
var ranIn = map[string]string{"not_run": "it did not run", "may_have_run": "it may have run", "ran": "it ran"}
