package main

import (
	"io"
	"net/http"
	"strings"
	"time"
)

// clientTimeLeft is how long clients wait, in milliseconds.
const clientTimeLeft = "4000"

// channels are the channels that clients keep.
var channels = &http.Client{Timeout: 5 * time.Second, Transport: &http.Transport{MaxIdleConnsPerHost: 64}}

// ask sends a request and reads the whole answer. It returns the status, 0 for none.
func (w *world) ask(method, address, uri, id, body string) int {
	q, err := http.NewRequest(method, "http://"+address+uri, strings.NewReader(body))
	if err != nil {
		panic(err)
	}
	q.Host = host
	q.Header.Set("X-Attempt-Id", id)
	q.Header.Set("X-Time-Left-Ms", clientTimeLeft)
	q.Header.Set("Authorization", "Bearer "+key)
	began := time.Now()
	w.note("sent %s: %s %s to %s", id, method, uri, address)
	response, err := channels.Do(q)
	status, text := 0, ""
	if err == nil {
		status = response.StatusCode
		data, err := io.ReadAll(response.Body)
		if text = string(data); err != nil {
			status = 0
		}
		response.Body.Close()
	}
	w.note("answered %s: status %d after %d ms: %s", id, status, time.Since(began).Milliseconds(), text)
	return status
}
