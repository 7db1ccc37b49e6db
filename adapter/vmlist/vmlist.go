// Package vmlist reads the platform's VM list, which may be some time out of date
// (docs/INTERFACES.md).
//
// # Usage
//
//	list := vmlist.New("http://127.0.0.1:7002", timers, 2*time.Second)
//	go list.Run(ctx)
//	if list.Leaving("r1") { … }
package vmlist

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"sync"
	"time"

	"github.com/violettally/violettally/internal/hostport"
	"github.com/violettally/violettally/internal/jsonlist"
	"github.com/violettally/violettally/timer"
)

// List is a copy of the VM list that is read periodically. It is safe for
// concurrent use.
type List struct {
	url      string
	http     *http.Client
	timers   *timer.Service
	interval time.Duration

	mu     sync.RWMutex
	vms    map[string]vm
	loaded bool
	// nameless is the number of entries of the last list whose VM cannot be told, odd that of all that cannot be used.
	nameless, odd int
}

// vm is an entry of the list.
type vm struct {
	Name  string `json:"name"`
	State string `json:"state"`
	// Peer is the address of the VM's listener for peers, if the list has one.
	Peer string `json:"peer"`
}

const (
	stateLeaving = "leaving"
	readTimeout  = 2 * time.Second
	// maxListBytes bounds the list; an entry takes some hundred bytes.
	maxListBytes = 16 << 20
)

// New returns a list that Run reads every interval from a base URL.
func New(url string, timers *timer.Service, interval time.Duration) *List {
	return &List{url: url, http: &http.Client{Timeout: readTimeout}, timers: timers, interval: interval}
}

// Run reads the list until the context ends.
func (l *List) Run(ctx context.Context) {
	ticks := l.timers.Subscribe(l.interval)
	defer ticks.Stop()
	for {
		if err := l.Read(ctx); err != nil {
			slog.Debug("reading the VM list failed", "error", err)
		}
		select {
		case <-ctx.Done():
			return
		case <-ticks.C():
		}
	}
}

// Read reads the list once. If that fails, the previous list is kept.
func (l *List) Read(ctx context.Context) error {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, l.url+"/vms", nil)
	if err != nil {
		return err
	}
	response, err := l.http.Do(request)
	if err != nil {
		return err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("VM list service returned status %d", response.StatusCode)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxListBytes))
	if err != nil {
		return err
	}
	entries, err := jsonlist.Elements(data, "vms")
	if err != nil {
		return err
	}
	l.replace(entries)
	return nil
}

// replace replaces the list. Of a VM whose entry cannot be used, what was known before is kept.
func (l *List) replace(entries []json.RawMessage) {
	l.mu.Lock()
	defer l.mu.Unlock()
	vms := make(map[string]vm, len(entries))
	nameless, odd := 0, 0
	for _, entry := range entries {
		v, sound := decode(entry)
		if !sound {
			odd++
		}
		_, listed := vms[v.Name]
		switch {
		case v.Name == "":
			nameless++
		case sound || !listed:
			vms[v.Name] = v.orKnown(l.vms[v.Name], sound)
		}
	}
	if odd != l.odd {
		slog.Warn("entries of the VM list cannot be used", "entries", odd, "without_name", nameless, "of", len(entries))
	}
	l.vms, l.loaded, l.nameless, l.odd = vms, true, nameless, odd
}

// orKnown returns the entry if it is sound, or else what was known of its VM.
func (v vm) orKnown(known vm, sound bool) vm {
	if !sound {
		v.State, v.Peer = known.State, known.Peer
	}
	return v
}

// decode decodes an entry. It returns false if the entry cannot be used, with the VM's name if that can be told.
func decode(entry json.RawMessage) (vm, bool) {
	var v vm
	if err := json.Unmarshal(entry, &v); err != nil || v.Name == "" {
		return v, false // an error of another field leaves the name
	}
	return v, v.Peer == "" || hostport.Valid(v.Peer)
}

// Listed reports whether a VM is on the list. ok is false if that is not known
// because the list has not been read yet or is empty, or because an entry may be the VM's whose name cannot be told.
func (l *List) Listed(name string) (listed, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, listed = l.vms[name]
	return listed, listed || l.loaded && len(l.vms) > 0 && l.nameless == 0
}

// Leaving reports whether the list shows a VM as leaving.
func (l *List) Leaving(name string) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.vms[name].State == stateLeaving
}

// PeerAddresses returns the peer addresses of the VMs that have one.
func (l *List) PeerAddresses() []string {
	l.mu.RLock()
	defer l.mu.RUnlock()
	var peers []string
	for _, v := range l.vms {
		if v.Peer != "" {
			peers = append(peers, v.Peer)
		}
	}
	return peers
}
