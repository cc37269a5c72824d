//go:build review3

package main

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"time"
)

const (
	host = "shop.example"
	// retention is retentionS of the route.
	retention    = 60 * time.Second
	turnDeadline = 4 * time.Second
)

// configuration has one route whose turns are kept.
const configuration = `{"version":%d,"routes":[{"name":"chat","host":"` + host + `","pathPrefix":"/chat/","type":"streaming","timeoutMs":4000,` +
	`"targetLatencyMs":300,"priority":0,"service":"lm","maxAttempts":1,"retained":true,"retentionS":60.0,"public":false,"sticky":true,` +
	`"resumable":true,"gapTargetMs":400}],"services":[{"name":"lm","healthPath":"/healthz","maxConns":530,"protocol":"h1","tls":false,` +
	`"engine":{"slots":16,"kvCapacityTokens":283148,"chunkTokens":46,"models":[{"name":"m"}]}}],` +
	`"limits":{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`

// turn is one turn of a program.
type turn struct {
	program string
	id      string
	// prompt is what a runner has to receive for a turn that continues this one.
	prompt string
	// endedAt is the time at which the whole answer had arrived.
	endedAt time.Time
}

// answer is what a client got for one attempt; status 0 means that no whole answer arrived.
type answer struct {
	id         string
	status     int
	body       string
	retryAfter time.Duration
}

func (s *scene) newID() string {
	s.attempts.Lock()
	defer s.attempts.Unlock()
	s.attempt++
	return fmt.Sprintf("%016x", 0x1c41d07b00000000+s.attempt)
}

// ask sends one attempt of a turn to a gateway, on a new connection.
func (s *scene) ask(gateway, program, previous, input string) answer {
	a := answer{id: s.newID()}
	request, err := http.NewRequest(http.MethodPost, "http://"+s.daemons[gateway].front+"/chat/1", strings.NewReader(input))
	if err != nil {
		return a
	}
	request.Host = host
	for name, value := range map[string]string{
		"Attempt-Id": a.id, "Program-Id": program, "Session-Id": program, "Program-Deadline-Ms": "30000", "Deadline-Ms": "4000",
		"Token-Budget": "100000", "Token-Usage": "100,560", "Model": "m", "Prompt-Prefix": "5c1e07a2:800,9" + program + ":100",
	} {
		request.Header.Set(name, value)
	}
	if previous != "" {
		request.Header.Set("Previous-Turn", previous)
	}
	client := http.Client{Timeout: turnDeadline, Transport: &http.Transport{DisableKeepAlives: true, DisableCompression: true}}
	response, err := client.Do(request)
	if err != nil {
		return a
	}
	defer response.Body.Close()
	body, err := io.ReadAll(response.Body)
	if err != nil {
		return a
	}
	a.status, a.body = response.StatusCode, string(body)
	if after, err := strconv.ParseFloat(response.Header.Get("Retry-After"), 64); err == nil {
		a.retryAfter = time.Duration(after * float64(time.Second))
	}
	return a
}

// outputOf returns the data of the events of an answer, each with a line feed.
func outputOf(body string) string {
	var b strings.Builder
	for line := range strings.Lines(body) {
		if data, found := strings.CutPrefix(strings.TrimRight(line, "\r\n"), "data: "); found {
			b.WriteString(data + "\n")
		}
	}
	return b.String()
}

// firstTurns runs the first turns of programs at a gateway, and returns those that were answered whole.
func (s *scene) firstTurns(gateway string, from, count int) []turn {
	turns := make([]turn, count)
	var clients sync.WaitGroup
	for i := range turns {
		clients.Go(func() {
			program := fmt.Sprintf("%06x", 0x3fa000+from+i)
			input := "first input of " + program + ";"
			for range 4 {
				a := s.ask(gateway, program, "", input)
				s.say("turn %s of program %s at %s: status %d, %d bytes", a.id, program, gateway, a.status, len(a.body))
				if a.status == http.StatusOK {
					turns[i] = turn{program: program, id: a.id, prompt: input + outputOf(a.body), endedAt: time.Now()}
					return
				}
				time.Sleep(max(a.retryAfter, 100*time.Millisecond))
			}
		})
	}
	clients.Wait()
	var whole []turn
	for _, t := range turns {
		if t.id != "" {
			whole = append(whole, t)
		}
	}
	return whole
}

// outcomes counts what became of turns that continue others.
type outcomes struct {
	mu                                      sync.Mutex
	served, absent, foreign, refused, other int
}

func (o *outcomes) String() string {
	o.mu.Lock()
	defer o.mu.Unlock()
	return fmt.Sprintf("%d served, %d answered 404 or 410, %d with a foreign prompt, %d refused with 503, %d otherwise",
		o.served, o.absent, o.foreign, o.refused, o.other)
}

// continueTurn sends one attempt of the second turn of a program, and records its outcome. It returns true unless the
// attempt may be repeated.
func (s *scene) continueTurn(gateway string, t turn, o *outcomes) bool {
	input := "second input of " + t.program + ";"
	a := s.ask(gateway, t.program, t.id, input)
	age := time.Since(t.endedAt)
	run, ran := s.runOf(a.id)
	s.say("turn %s at %s continues %s, which was answered whole %.1f s ago (retentionS 60): status %d, reached a runner: %v",
		a.id, gateway, t.id, age.Seconds(), a.status, ran)
	o.mu.Lock()
	defer o.mu.Unlock()
	switch {
	case ran && run.Body != t.prompt+input:
		s.say("besides, UNASKED: the runner received %d bytes of another prompt than the %d of the conversation", len(run.Body), len(t.prompt+input))
		o.foreign++
	case a.status == http.StatusOK:
		o.served++
	case (a.status == http.StatusNotFound || a.status == http.StatusGone) && age < retention:
		s.say("LOST: turn %s is said not to exist", t.id)
		o.absent++
	case a.status == http.StatusServiceUnavailable:
		o.refused++
		return false
	default:
		o.other++
		return false
	}
	return true
}
