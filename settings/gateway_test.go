package settings_test

import (
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/joomcode/errorx"
	"github.com/shoenig/test/must"

	"github.com/violettally/violettally/settings"
)

// templateValues are the values that the platform substitutes for the
// placeholders of the settings template.
var templateValues = map[string]string{
	"node_name": `"front-1"`, "region": `"r"`, "zone": `"z"`, "zones": `{"z": "r"}`, "seeds": `["10.0.0.1:4"]`,
	"listen.front": `"10.0.0.1:1"`, "listen.ready": `"10.0.0.1:2"`, "listen.directory": `"10.0.0.1:3"`, "listen.control": `"10.0.0.1:4"`,
	"ip": "10.0.0.1", "port_range.0": "7340", "provider.address": `"10.0.0.9:5"`, "provider.ttl_min_ms": "1000",
	"limits.ram_mb": "134", "limits.max_fds": "4100", "limits.net_mbps": "20.0", "bounds.grace_s": "8", "bounds.drain_ms": "2000", "bounds.ttl_max_s": "5",
	"bounds.session_s": "5", "bounds.again_s": "7.9", "bounds.retry_ratio": "0.9", "bounds.retry_window_s": "10",
	"bounds.retry_slack": "54", "cloud.duties": `["usage", "scale"]`, "bounds.canary_share": "0.15", "bounds.canary_slack": "30",
}

// optionalValues are those that the platform has on some deployments only.
var optionalValues = map[string]string{"bounds.cold_over": "1.5", "bounds.cold_slack": "5", "bounds.evacuate_ms": "5000",
	"cloud.address": "10.0.0.8:6", "bounds.lease_ms": "3000", "bounds.report_window_s": "5", "bounds.usage_late_s": "10"}

var (
	placeholder = regexp.MustCompile(`\{\{([^|}]+)(\|json)?\}\}`)
	// section is what stands in the template only if the platform has the value of the name.
	section = regexp.MustCompile(`(?s)\{\{#([^}]+)\}\}(.*?)\{\{/([^}]+)\}\}`)
)

// renderTemplate returns the settings template as the platform renders it, with the given
// optional values.
func renderTemplate(t *testing.T, optional map[string]string) string {
	template, err := os.ReadFile("../deploy/settings.json.tmpl")
	must.NoError(t, err)
	text := section.ReplaceAllStringFunc(string(template), func(match string) string {
		parts := section.FindStringSubmatch(match)
		must.Eq(t, parts[1], parts[3])
		must.MapContainsKey(t, optionalValues, parts[1])
		value, present := optional[parts[1]]
		if !present {
			return ""
		}
		return strings.ReplaceAll(parts[2], "{{.}}", value)
	})
	return placeholder.ReplaceAllStringFunc(text, func(match string) string {
		name := placeholder.FindStringSubmatch(match)[1]
		value, known := templateValues[name]
		must.True(t, known, must.Sprint(name))
		return value
	})
}

func load(t *testing.T, text string) (*settings.Gateway, error) {
	file := filepath.Join(t.TempDir(), "settings.json")
	must.NoError(t, os.WriteFile(file, []byte(text), 0o600))
	return settings.LoadGateway(file)
}

// TestTemplate checks that the rendered settings template is valid and that its
// values are decoded.
func TestTemplate(t *testing.T) {
	g, err := load(t, renderTemplate(t, nil))
	must.NoError(t, err)
	must.Eq(t, 0, g.Evacuation())
	must.Eq(t, 1.0, g.Bounds.WarmUpFactor)
	g, err = load(t, renderTemplate(t, optionalValues))
	must.NoError(t, err)
	must.Eq(t, 5*time.Second, g.Evacuation())
	must.Eq(t, 1.5, g.Bounds.WarmUpFactor)
	must.Eq(t, 5.0, g.Bounds.WarmUpSlack)
	must.True(t, g.Cloud.Has(settings.DutyUsage))
	must.True(t, g.Cloud.Has(settings.DutyScale))
	must.Eq(t, 3*time.Second, g.HolderChange())
	must.Eq(t, 5*time.Second, g.UsageWindow())
	must.Eq(t, 10*time.Second, g.UsageLate())
	must.Eq(t, "front-1", g.Name)
	must.Eq(t, "10.0.0.1:7340", g.Metrics.Address())
	must.Eq(t, 8*time.Second, g.Grace())
	must.Eq(t, 0.9, g.Bounds.RetryRatio)
	must.Eq(t, "info", g.LogLevel)
}

// TestGatewayFaults checks that each fault is reported with its position and
// path.
func TestGatewayFaults(t *testing.T) {
	tests := []struct{ name, from, to, want string }{
		{"no name", `"front-1"`, `""`, "/name: want the VM's name"},
		{"address", `"10.0.0.1:1"`, `"host:1"`, "/caller/listen: want IP:PORT"},
		{"store", `"10.0.0.9:5"`, `"nowhere"`, "/store/address: want IP:PORT"},
		{"share", `"canary_share": 0.15`, `"canary_share": 1.5`, "/bounds/canary_share: want a share"},
		{"warm-up slack", `"warm_up_slack": 5`, `"warm_up_slack": -5`, "/bounds/warm_up_factor: want a factor and a slack of zero or more"},
		{"evacuation time", `"evacuation_ms": 5000`, `"evacuation_ms": -1`, "/bounds/evacuation_ms: want a time"},
		{"cloud address", `"10.0.0.8:6"`, `"cloud"`, "/cloud/address: want IP:PORT"},
		{"duty", `"scale"`, `"bill"`, "/cloud/duties: want usage or scale"},
		{"usage window", `"usage_window_s": 5`, `"usage_window_s": 0.1`, "/bounds/usage_window_s: want windows of 1 s or more"},
		{"unknown field", `"seeds"`, `"seedz"`, "seedz"},
		{"wrong type", `"retry_ratio": 0.9`, `"retry_ratio": "much"`, "/bounds/retry_ratio"},
		{"invalid JSON", `"bounds"`, ``, ":"},
	}
	for _, tt := range tests {
		t.Run(tt.name, func(t *testing.T) {
			_, err := load(t, strings.Replace(renderTemplate(t, optionalValues), tt.from, tt.to, 1))
			must.True(t, errorx.IsOfType(err, settings.Invalid))
			must.StrContains(t, err.Error(), tt.want)
			must.StrContains(t, err.Error(), "settings.json:")
		})
	}
	_, err := settings.LoadGateway(filepath.Join(t.TempDir(), "none.json"))
	must.True(t, errorx.IsOfType(err, settings.Unreadable))
}
