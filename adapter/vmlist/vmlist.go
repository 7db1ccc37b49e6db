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
	"log/slog"
	"net/http"
	"sync"
	"time"

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
}

type vm struct {
	Name  string `json:"name"`
	State string `json:"state"`
	// Peer is the address of the VM's listener for peers, if the list has one.
	Peer string `json:"peer"`
}

const (
	stateLeaving = "leaving"
	readTimeout  = 2 * time.Second
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
	var in struct {
		VMs []vm `json:"vms"`
	}
	if response.StatusCode != http.StatusOK {
		return fmt.Errorf("VM list service returned status %d", response.StatusCode)
	}
	if err := json.NewDecoder(response.Body).Decode(&in); err != nil {
		return err
	}
	vms := make(map[string]vm, len(in.VMs))
	for _, v := range in.VMs {
		vms[v.Name] = v
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.vms, l.loaded = vms, true
	return nil
}

// Listed reports whether a VM is on the list. ok is false if that is not known
// because the list has not been read yet or is empty.
func (l *List) Listed(name string) (listed, ok bool) {
	l.mu.RLock()
	defer l.mu.RUnlock()
	_, listed = l.vms[name]
	return listed, l.loaded && len(l.vms) > 0
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
