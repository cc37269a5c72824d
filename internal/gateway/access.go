package gateway

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"time"

	"ibisline/internal/quota"
	"ibisline/internal/routes"
	"ibisline/internal/structs"
	"ibisline/internal/verdict"
)

// Quotas keeps the requests of each team within its quota.
type Quotas interface {
	// Admit takes a request from the quota of its team, and waits until it may be sent. Errors are refusals.
	Admit(ctx context.Context, team *structs.Team, program quota.Program) error
	// Check returns the refusal that Admit would return now without asking other daemons, and takes
	// nothing.
	Check(team *structs.Team, program quota.Program) error
	// Return gives back a request that was admitted and did not run.
	Return(team *structs.Team)
}

const (
	// maxProofFraction is the part of Config.RevokeWithin that the proof of the configuration may be
	// old for a key to be accepted. The rest covers clocks that differ in speed.
	maxProofFraction = 0.9
	// unknownKeyProofFraction is that for a key to be rejected as unknown: a key that was just added
	// must not be.
	unknownKeyProofFraction = 0.6
	// proofRetryAfter is the Retry-After of refusals without a proof.
	proofRetryAfter = 500 * time.Millisecond
)

// proof is the age of the configuration in force, and whether it is known.
type proof struct {
	age    time.Duration
	proven bool
}

// within reports whether the configuration was proven to be the newest one within a part of a time.
// Without such a time no proof is needed.
func (p proof) within(limit time.Duration, part float64) bool {
	return limit <= 0 || (p.proven && p.age <= time.Duration(float64(limit)*part))
}

// checkKey finds the team of a request by its key. The proof is older than the table. Errors are
// refusals.
//
// A key that was taken away works for RevokeWithin at most, on every daemon: the proof says that the
// configuration was the newest one at a time before the caller sent the request.
func (g *Gateway) checkKey(j *job, table *routes.Table, p proof) error {
	if !table.RequiresKeys {
		return nil
	}
	j.ChecksKeys = true
	var team *structs.Team
	part := unknownKeyProofFraction
	if j.Key != nil {
		if found, known := table.TeamOf(*j.Key); known {
			team, part = found, maxProofFraction
		}
	}
	proven := p.within(g.config.RevokeWithin, part)
	switch {
	case team != nil && proven:
		j.team, j.Team = team, team.Name
		return nil
	case j.route.Public:
		// It runs without a team.
		return nil
	case !proven:
		return verdict.Refuse(verdict.KeyUnproven, "the configuration is not proven to be new enough to check keys").
			RetryIn(proofRetryAfter)
	default:
		return verdict.Refuse(verdict.UnknownKey, "the request has no key of a team")
	}
}

// checkQuota takes a request from the quota of its team. Errors are refusals.
func (g *Gateway) checkQuota(ctx context.Context, j *job) error {
	if j.team == nil {
		return nil
	}
	ctx, cancel := context.WithDeadline(ctx, j.deadline)
	defer cancel()
	if err := g.Quotas.Admit(ctx, j.team, quotaProgram(j)); err != nil {
		return err
	}
	j.charged = true
	return nil
}

// quotaProgram returns what quotas know of the program of a request. Only turns begin programs: the other
// requests of a program are calls of tools.
func quotaProgram(j *job) quota.Program {
	return quota.Program{
		Rank: admissionRank(j), Begun: j.PreviousTurn != "" || (j.Program != "" && j.route.Kind != structs.Stream),
	}
}

// returnQuota gives a request that did not run back to the quota of its team.
func (g *Gateway) returnQuota(j *job) {
	if j.charged && !j.mayHaveRun() {
		g.Quotas.Return(j.team)
	}
}

// maxKeptID is the length up to which identifiers of callers are kept as they are. What lasts longer than
// a request holds the digest of a longer one.
const maxKeptID = 128

// scoped returns an identifier of the caller under which its team keeps something of its own. Teams
// that use the same identifier do not share it. Header fields contain no NUL.
func (j *job) scoped(id string) string {
	if len(id) > maxKeptID {
		digest := sha256.Sum256([]byte(id))
		id = "sha256:" + hex.EncodeToString(digest[:])
	}
	if j.Team == "" || id == "" {
		return id
	}
	return j.Team + "\x00" + id
}
