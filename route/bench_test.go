package route_test

import (
	"fmt"
	"testing"
	"time"

	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/prefix"
	"github.com/violettally/violettally/registry"
	"github.com/violettally/violettally/route"
	"github.com/violettally/violettally/timer"
)

// BenchmarkChoose measures a choice among 2,800 servers, on one of 480 nodes.
func BenchmarkChoose(b *testing.B) {
	var servers []config.Server
	var nodes []string
	for i := range 2800 {
		servers = append(servers, config.Server{Name: fmt.Sprint("runner-", i), Slots: 8})
	}
	for i := range 480 {
		nodes = append(nodes, fmt.Sprint("node-", i))
	}
	c := route.New(nodes[0], route.WithNodes(func() (int64, []string) { return 1, nodes }))
	for i := 0; b.Loop(); i++ {
		a, err := c.Choose(route.Request{Pool: "p", Servers: servers, EngineModel: "m", Prefix: uint64(i % 100)})
		if err != nil {
			b.Fatal(err)
		}
		a.End(route.OutcomeOK, time.Millisecond)
	}
}

// BenchmarkSubset measures the computation of the subset, which each change of the
// membership view causes.
func BenchmarkSubset(b *testing.B) {
	var servers []config.Server
	var nodes []string
	for i := range 2800 {
		servers = append(servers, config.Server{Name: fmt.Sprint("runner-", i)})
	}
	for i := range 480 {
		nodes = append(nodes, fmt.Sprint("node-", i))
	}
	epoch := int64(0)
	c := route.New(nodes[0], route.WithNodes(func() (int64, []string) {
		epoch++
		return epoch, nodes
	}))
	for b.Loop() {
		c.Subset("p", servers)
	}
}

// BenchmarkBalancerChoose measures a choice among engines for a prompt of three parts.
func BenchmarkBalancerChoose(b *testing.B) {
	for _, size := range []int{150, 500, 3000, 10000, 20000} {
		b.Run(fmt.Sprint(size), func(b *testing.B) { benchmarkBalancerChoose(b, size) })
	}
}

func benchmarkBalancerChoose(b *testing.B, size int) {
	r := registry.New(timer.New())
	for i := range size {
		r.Put(registry.Server{ID: fmt.Sprint("i-", i), DataHall: fmt.Sprint("hall-", i%5), Service: "s"})
	}
	servers := r.Servers("s")
	balancer := route.NewBalancer("hall-0", func(string) {})
	for i := 0; b.Loop(); i++ {
		parts := []prefix.Part{{ID: fmt.Sprint("top", i%4), Tokens: 2500}, {ID: fmt.Sprint("sub", i%40), Tokens: 3800}, {ID: fmt.Sprint(i), Tokens: 2900}}
		assignment, err := balancer.Choose(route.Task{
			Servers: servers, Kind: "m", PromptTokens: 9200, Prompt: prefix.NewChain("m", parts), CacheCapacity: 460000,
			Initial: route.InitialEstimate{Base: 30, Rate: 0.01},
		})
		if err != nil {
			b.Fatal(err)
		}
		assignment.RecordResponseStart()
		assignment.End(route.OutcomeOK)
	}
}
