package platform_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"

	"github.com/stretchr/testify/require"

	"ibisline/platform/platformtest"
)

// The services, and the routes of the first configuration.
const (
	engines = "engines"
	tills   = "tills"

	configuration = `{"version":%d,"services":[{"name":"engines","engine":{"slots":16,"chunkTokens":100}},{"name":"tills"}],
		"limits":{"maxBodyBytes":65536},"routes":[%s]}`
	turnRoute = `{"name":"turn","host":"a.example","pathPrefix":"/turn/","type":"streaming","service":"engines","resumable":true,
		"timeoutMs":8000,"targetLatencyMs":300,"gapTargetMs":250,"maxAttempts":1,"retentionS":60}`
	lookRoute = `{"name":"look","host":"a.example","pathPrefix":"/look/","type":"idempotent","service":"tills",
		"timeoutMs":4000,"targetLatencyMs":200,"maxAttempts":2}`
	redeemRoute = `{"name":"redeem","host":"a.example","pathPrefix":"/redeem/","type":"non_idempotent","service":"tills",
		"timeoutMs":4000,"targetLatencyMs":200,"maxAttempts":1}`
	newRoute = `{"name":"new","host":"a.example","pathPrefix":"/new/","type":"idempotent","service":"tills",
		"timeoutMs":4000,"targetLatencyMs":200,"maxAttempts":1}`
	usualRoutes = turnRoute + "," + lookRoute + "," + redeemRoute
)

// The turns of the tests: each generates eventsOfTurn events of eventTokens tokens.
const (
	eventTokens  = 100
	eventsOfTurn = 2
	turnTokens   = eventTokens * eventsOfTurn
)

// answer is what a caller got. Status 0 means that the connection ended without a whole
// answer.
type answer struct {
	id     string
	status int
	body   string
	header http.Header
	events int
}

// attempts numbers the attempts of all callers.
var attempts atomic.Int64

// call makes one attempt at a daemon.
func (w *world) call(daemon, method, path string, edit ...func(*http.Request)) answer {
	got := answer{id: "attempt-" + strconv.FormatInt(attempts.Add(1), 10)}
	request, err := http.NewRequest(method, "http://"+w.daemons[daemon].front+path, strings.NewReader("body of "+got.id))
	require.NoError(w.t, err)
	request.Host = "a.example"
	request.Header.Set("Attempt-Id", got.id)
	request.Header.Set("Deadline-Ms", "8000")
	for _, change := range edit {
		change(request)
	}
	response, err := w.client.Do(request)
	if err != nil {
		return got
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	got.body, got.header, got.events = string(body), response.Header, strings.Count(string(body), "\n\n")
	if err == nil {
		got.status = response.StatusCode
	}
	return got
}

// turn makes one turn of a program.
func (w *world) turn(daemon, program string, budget int) answer {
	return w.call(daemon, http.MethodPost, "/turn/1", func(r *http.Request) {
		r.Header.Set("Program-Id", program)
		r.Header.Set("Session-Id", program)
		r.Header.Set("Token-Budget", strconv.Itoa(budget))
		r.Header.Set("Token-Usage", fmt.Sprintf("10,%d", turnTokens))
		r.Header.Set("Length-Hint", strconv.Itoa(turnTokens))
	})
}

// streams makes all engines answer with events that name the request.
func (w *world) streams() {
	for name, runner := range w.runners {
		if strings.HasPrefix(name, "engine") {
			runner.Script(func(run platformtest.Run) platformtest.Reply {
				return platformtest.Reply{Events: []string{"one of " + run.ID, "two of " + run.ID}}
			})
		}
	}
}

// echoes makes all tills answer with the identifier of the request.
func (w *world) echoes() {
	for name, runner := range w.runners {
		if strings.HasPrefix(name, "till") {
			runner.Script(func(run platformtest.Run) platformtest.Reply { return platformtest.Reply{Body: "done " + run.ID} })
		}
	}
}

// runsOf counts the runs of every attempt at all backend servers.
func (w *world) runsOf() map[string]int {
	counted := map[string]int{}
	for _, runner := range w.runners {
		for _, run := range runner.Runs() {
			counted[run.ID]++
		}
	}
	return counted
}

// ledger collects answers of callers that work at the same time.
type ledger struct {
	mu      sync.Mutex
	answers []answer
}

func (l *ledger) add(a answer) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.answers = append(l.answers, a)
}

// all returns the answers so far.
func (l *ledger) all() []answer {
	l.mu.Lock()
	defer l.mu.Unlock()
	return append([]answer(nil), l.answers...)
}
