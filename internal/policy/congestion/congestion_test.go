package congestion_test

import (
	"container/heap"
	"math"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"ibisline/internal/policy/balance"
	"ibisline/internal/policy/congestion"
)

var start = time.Date(2026, 1, 1, 0, 0, 0, 0, time.UTC)

// fleet simulates gateways of one data centre before the servers of a service.
type fleet struct {
	random   *rand.Rand
	gateways []*simGateway
	servers  []*simServer
	// sessions holds the sessions under way. Each request belongs to one of them.
	sessions []*simSession
	events   events
	// workTime is the mean time for which a request holds a slot.
	workTime time.Duration
	// estimates switches the package under test on.
	estimates bool
}

type simGateway struct {
	inFlight []int
	baseline congestion.Baseline
	ratios   []congestion.Average
	groups   map[balance.Distance]*congestion.Average
}

type simServer struct {
	// distance is the distance to the gateways, which tells the data centres apart.
	distance balance.Distance
	// freeAt holds the times at which the slots are free.
	freeAt []time.Duration
	// slowdown is the factor of its work time.
	slowdown float64
	sent     int
}

type simSession struct {
	// affinity is that to each server.
	affinity []float64
	turns    int
}

const (
	slots           = 6
	turnsOfSessions = 11
)

// response is the response to a request.
type response struct {
	at, took time.Duration
	gateway  *simGateway
	server   int
}

type events []response

func (e events) Len() int           { return len(e) }
func (e events) Less(i, j int) bool { return e[i].at < e[j].at }
func (e events) Swap(i, j int)      { e[i], e[j] = e[j], e[i] }
func (e *events) Push(x any)        { *e = append(*e, x.(response)) }
func (e *events) Pop() any {
	last := (*e)[len(*e)-1]
	*e = (*e)[:len(*e)-1]
	return last
}

func newFleet(gateways, sessions int, workTime time.Duration, estimates bool, distances ...balance.Distance) *fleet {
	f := &fleet{random: rand.New(rand.NewPCG(1, 2)), workTime: workTime, estimates: estimates}
	for range gateways {
		g := &simGateway{
			inFlight: make([]int, len(distances)), ratios: make([]congestion.Average, len(distances)),
			groups: map[balance.Distance]*congestion.Average{},
		}
		for _, distance := range distances {
			g.groups[distance] = &congestion.Average{}
		}
		f.gateways = append(f.gateways, g)
	}
	for _, distance := range distances {
		f.servers = append(f.servers, &simServer{distance: distance, freeAt: make([]time.Duration, slots), slowdown: 1})
	}
	for range sessions {
		f.sessions = append(f.sessions, f.newSession())
	}
	return f
}

func (f *fleet) newSession() *simSession {
	s := &simSession{}
	for range f.servers {
		s.affinity = append(s.affinity, f.random.Float64())
	}
	return s
}

// run offers requests at a rate that depends on the time, and returns the times that they took, by the second
// in which they arrived.
func (f *fleet) run(length time.Duration, perSecond func(time.Duration) float64) map[time.Duration][]time.Duration {
	took := map[time.Duration][]time.Duration{}
	for now := time.Duration(0); now < length; {
		now += time.Duration(f.random.ExpFloat64() / perSecond(now) * float64(time.Second))
		f.deliver(now)
		second := now.Truncate(time.Second)
		took[second] = append(took[second], f.send(f.gateways[f.random.IntN(len(f.gateways))], f.nextSession(), now))
	}
	return took
}

// nextSession returns the session of the next request.
func (f *fleet) nextSession() *simSession {
	i := f.random.IntN(len(f.sessions))
	if f.sessions[i].turns == turnsOfSessions {
		f.sessions[i] = f.newSession()
	}
	f.sessions[i].turns++
	return f.sessions[i]
}

// deliver hands the responses until a time to the gateways.
func (f *fleet) deliver(until time.Duration) {
	for len(f.events) > 0 && f.events[0].at <= until {
		r := heap.Pop(&f.events).(response)
		r.gateway.inFlight[r.server]--
		ratio := r.gateway.baseline.Ratio(r.took)
		r.gateway.ratios[r.server].Record(ratio, start.Add(r.at))
		r.gateway.groups[f.servers[r.server].distance].Record(ratio, start.Add(r.at))
	}
}

// send sends a request as a gateway chooses, and returns the time until its response.
func (f *fleet) send(g *simGateway, session *simSession, now time.Duration) time.Duration {
	candidates := make([]balance.Candidate, len(f.servers))
	for i, server := range f.servers {
		candidates[i] = balance.Candidate{
			InFlight: float64(g.inFlight[i]), Distance: server.distance, Affinity: session.affinity[i],
		}
		if f.estimates {
			candidates[i].Congestion = congestion.Load(&g.ratios[i], g.groups[server.distance], start.Add(now))
		}
	}
	chosen := balance.Choose(candidates)
	g.inFlight[chosen]++
	server := f.servers[chosen]
	server.sent++
	slices.Sort(server.freeAt)
	begin := max(now, server.freeAt[0])
	server.freeAt[0] = begin + time.Duration(f.random.ExpFloat64()*server.slowdown*float64(f.workTime))
	took := server.freeAt[0] - now
	heap.Push(&f.events, response{at: server.freeAt[0], took: took, gateway: g, server: chosen})
	return took
}

// callTime and turnTime are the times of calls of tools and of turns.
const (
	callTime = 20 * time.Millisecond
	turnTime = 150 * time.Millisecond
)

// small is a data centre with one server, next to one of the same region with two.
var small = []balance.Distance{balance.SameDataCentre, balance.SameRegion, balance.SameRegion}

// smallFleet is a fleet with these servers and many short sessions.
func smallFleet(gateways int, estimates bool) *fleet {
	return newFleet(gateways, 1000, callTime, estimates, small...)
}

// calm is half of what the near server can do, and burst twice as much as it can do, which is less
// than what all servers can do.
const (
	calmPerSecond  = 150.0
	burstPerSecond = 600.0
)

func burst(now time.Duration) float64 {
	if now >= 10*time.Second && now < 16*time.Second {
		return burstPerSecond
	}
	return calmPerSecond
}

// late returns the share of the requests in a span that took longer than an objective.
func late(took map[time.Duration][]time.Duration, objective, from, to time.Duration) float64 {
	n, count := 0, 0
	for second, times := range took {
		for _, t := range times {
			if second >= from && second < to {
				count++
				if t > objective {
					n++
				}
			}
		}
	}
	return float64(n) / float64(count)
}

// Guards against a queue at the only server of a data centre while those next to it have free slots,
// because each of many gateways has hardly a request in flight.
func TestBurstOfOneDataCentreReachesFreeServers(t *testing.T) {
	const from, to = 12 * time.Second, 16 * time.Second
	for _, gateways := range []int{30, 100} {
		blind := smallFleet(gateways, false).run(20*time.Second, burst)
		aware := smallFleet(gateways, true).run(20*time.Second, burst)
		require.Greater(t, late(blind, 4*callTime, from, to), 0.2, "%d gateways: the load shows the fault without the estimates", gateways)
		require.Less(t, late(aware, 4*callTime, from, to), late(blind, 4*callTime, from, to)/2, "%d gateways", gateways)
	}
}

// Guards against an estimate that makes a burst worse for few gateways, whose own counts are enough.
func TestBurstBeforeFewGateways(t *testing.T) {
	const from, to = 10 * time.Second, 20 * time.Second
	for _, gateways := range []int{1, 3, 8} {
		blind := smallFleet(gateways, false).run(20*time.Second, burst)
		aware := smallFleet(gateways, true).run(20*time.Second, burst)
		require.LessOrEqual(t, late(aware, 4*callTime, from, to), late(blind, 4*callTime, from, to)+0.01, "%d gateways", gateways)
	}
}

// Guards against requests that leave their data centre though its servers are not busy.
func TestCalmLoadStaysInItsDataCentre(t *testing.T) {
	for _, gateways := range []int{1, 8, 30, 100} {
		blind, aware := smallFleet(gateways, false), smallFleet(gateways, true)
		blind.run(60*time.Second, func(time.Duration) float64 { return calmPerSecond })
		aware.run(60*time.Second, func(time.Duration) float64 { return calmPerSecond })
		total := calmPerSecond * 60
		require.InDelta(t, blind.servers[0].sent, aware.servers[0].sent, 0.05*total, "%d gateways", gateways)
	}
}

// Guards against a queue at a server that is slower than its neighbours in the data centre, which have free
// slots.
func TestSlowServerGetsLess(t *testing.T) {
	const gateways, servers, use, slowdown = 30, 8, 0.6, 2.5
	near := slices.Repeat([]balance.Distance{balance.SameDataCentre}, servers)
	offered := func(time.Duration) float64 { return use * servers * slots / turnTime.Seconds() }
	blind := newFleet(gateways, 1000, turnTime, false, near...)
	aware := newFleet(gateways, 1000, turnTime, true, near...)
	blind.servers[0].slowdown, aware.servers[0].slowdown = slowdown, slowdown
	lateBlind := late(blind.run(20*time.Second, offered), 4*turnTime, 5*time.Second, 20*time.Second)
	lateAware := late(aware.run(20*time.Second, offered), 4*turnTime, 5*time.Second, 20*time.Second)
	// This share takes longer than the objective with a free slot.
	unavoidable := math.Exp(-4)
	require.Greater(t, lateBlind, 2*unavoidable, "the load shows the fault without the estimates")
	require.Less(t, lateAware-unavoidable, (lateBlind-unavoidable)/2)
}

// Guards against a server that is avoided for good, as nothing is heard of one that gets no requests.
func TestServerWithoutRequestsIsTriedAgain(t *testing.T) {
	var server, group congestion.Average
	now := start
	for range 100 {
		now = now.Add(100 * time.Millisecond)
		server.Record(6, now)
		group.Record(6, now)
	}
	require.Greater(t, congestion.Load(&server, &group, now), 2.0)
	require.Zero(t, congestion.Load(&server, &group, now.Add(10*time.Second)))
}

// Guards against a single slow response that moves requests elsewhere.
func TestOneSlowResponseIsNotCongestion(t *testing.T) {
	var baseline congestion.Baseline
	var server, group congestion.Average
	now := start
	for range 20 {
		now = now.Add(200 * time.Millisecond)
		ratio := baseline.Ratio(10 * time.Millisecond)
		server.Record(ratio, now)
		group.Record(ratio, now)
	}
	ratio := baseline.Ratio(time.Second)
	server.Record(ratio, now)
	group.Record(ratio, now)
	require.Zero(t, congestion.Load(&server, &group, now))
}

// Guards against a burst of tens of seconds that becomes the norm, after which its delay is no longer seen.
func TestBaselineOutlastsABurst(t *testing.T) {
	var baseline congestion.Baseline
	for range 100 {
		baseline.Ratio(10 * time.Millisecond)
	}
	for range 100 {
		baseline.Ratio(50 * time.Millisecond)
	}
	require.Greater(t, baseline.Ratio(50*time.Millisecond), 2.5)
}

// Guards against one busy server of a data centre that sessions keep for themselves, as each gateway sends it
// one request a second only, and against taking its neighbours for busy.
func TestBusyServerStandsOutWithFewSamples(t *testing.T) {
	var busy, idle, group congestion.Average
	now := start
	for range 3 {
		now = now.Add(time.Second)
		for range 3 {
			idle.Record(1, now)
			group.Record(1, now)
		}
		busy.Record(6, now)
		group.Record(6, now)
	}
	require.Greater(t, congestion.Load(&busy, &group, now), 1.0, "more than the tie between two servers of a data centre")
	require.Zero(t, congestion.Load(&idle, &group, now))
}
