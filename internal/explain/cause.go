package explain

import (
	"fmt"
	"strings"

	"ibisline/internal/verdict"
)

// causes describes each reason of a failed gateway request.
var causes = map[verdict.Reason]string{
	verdict.BadRequest:         "the request is malformed; the error names the field",
	verdict.BodyTooLarge:       "its body exceeds the limit of the configuration",
	verdict.UnknownRoute:       "the configuration in force has no route for it",
	verdict.CatalogueStale:     "the gateway had not received a configuration yet",
	verdict.BudgetSpent:        "its program has not enough tokens left for the maximum output of the turn",
	verdict.NoServer:           "no backend server accepted it: each server tried reported that it did not run it, or none could be connected to",
	verdict.Quarantined:        "requests with this content crash the servers that run them",
	verdict.NotHome:            "the home of its program's budget was being replaced",
	verdict.PeerLost:           "the home of its program's budget was unreachable",
	verdict.PlatformDown:       "its program's token total could be written neither to the platform nor to enough keepers",
	verdict.BackendFailed:      "a backend server broke the connection or sent an incomplete response",
	verdict.BackendTimeout:     "no response arrived before the caller's deadline or the route's timeout",
	verdict.UnknownTurn:        "the turn that it continues does not exist: no keeper that may hold it does",
	verdict.HistoryUnavailable: "the turn that it continues could not be read, or its own turn not stored, on enough keepers",
	verdict.Canceled:           "the caller disconnected",
}

// describeOutcome describes in one sentence how a request ended and why.
func describeOutcome(end Record) string {
	status, _ := end.Fields["status"].(float64)
	reason := end.stringField("reason")
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
	return strings.Join([]string{outcome, verdictTexts[end.stringField("verdict")], text}, "; ")
}

// verdictTexts describes each verdict, keyed by its form in logs.
var verdictTexts = map[string]string{"not_run": "it did not run", "may_have_run": "it may have run", "ran": "it ran"}
