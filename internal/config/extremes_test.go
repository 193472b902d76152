package config_test

import (
	"context"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/config"
	"mothrouter/internal/decision"
	"mothrouter/internal/drain"
)

// Each number is left out, or made zero, tiny, huge or negative: the error names its key, or a broker serves with it.
func TestExtremeSettingsAreRejectedByKeyOrServe(t *testing.T) {
	full := strings.Replace(validConfig, `"settings":{`, `"settings":{"peersTotal":3,"tickS":0.005,"report":{"how":"piggyback"},
		"rules":{"coldShare":0.2,"warmUpS":17,"fallMultiple":2.5,"fallS":1.5,"drainGraceS":0.25,"budgetFree":3,"extraRatio":0.2,"budgetSpanS":10},`, 1)
	full = strings.Replace(full, `"caps":{`, `"caps":{"maxRetryAfterS":0.5,"sendCap":4,"retryAfter":true,"cancel":true,"probes":true,`, 1)
	full = strings.Replace(full, `"semantics":"free"}`, `"semantics":"guarded","windowS":2,"lateWorth":0.5,"worth":3,"aimStretch":1}`, 1)
	full = strings.Replace(full, `"slabs":8`, `"slabs":8,"reach":2,"bundleMax":1,"needByClass":[1],"classFloor":[0.8]`, 1)
	_, err := loadConfig(t, full, nil)
	require.NoError(t, err)
	keys := regexp.MustCompile(`"(\w+)":\[?(-?[\d.]+)\]?`).FindAllStringSubmatch(full, -1)
	require.Greater(t, len(keys), 30)
	for _, k := range keys {
		for _, v := range []string{"", "0", "1e-9", "1", "1e18", "1e300", "-1"} {
			odd := strings.Replace(full, k[0], strings.Replace(k[0], k[2], v, 1), 1)
			if v == "" {
				odd = strings.Replace(strings.Replace(full, k[0]+",", "", 1), ","+k[0], "", 1)
			}
			c, err := loadConfig(t, odd, nil)
			if err != nil {
				require.ErrorContains(t, err, k[1], "%s: %s", k[1], v)
				continue
			}
			requireServes(t, c, k[1]+": "+v)
		}
	}
}

// okLink answers each call at once.
type okLink struct{}

func (okLink) Send(c *broker.Call) {
	if c.TryStart() {
		c.Finish(broker.CallResult{Status: decision.OK, LoadReport: decision.NoLoadReport, Value: []byte("v")})
	}
}
func (okLink) Cancel(*broker.Call) {}
func (okLink) CheckHealth(p *broker.HealthCheck) {
	p.Finish(broker.CallResult{LoadReport: decision.NoLoadReport})
}

// result receives the answer of one request.
type result chan broker.Result

func (r result) Finish(x broker.Result) { r <- x }

// requireServes checks that a broker with the configuration answers a request, and that its times are sane.
func requireServes(t *testing.T, c *config.Config, what string) {
	b := broker.New(broker.Options{Settings: c.Settings, ConcurrencyLimit: c.ConcurrencyLimit}, decision.New(c.Settings, 1), okLink{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go b.Run(ctx)
	b.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{
		{Addr: "a", Server: decision.Server{ID: "a", Started: float64(time.Now().Unix())}}, {Addr: "b", Server: decision.Server{ID: "b", ReplicaSet: 1}}}})
	answer := make(result, 1)
	b.Submit(&broker.Request{ID: "q", ReceivedAt: time.Now(), Timeout: 300 * time.Millisecond, Parts: []broker.Part{{Shard: 1, Weight: 1}}}, answer)
	select {
	case <-answer:
	case <-time.After(2 * time.Second):
		require.FailNow(t, "no answer", what)
	}
	end := drain.PlanShutdown(c.LongestDeadline())
	require.Positive(t, end.AnnounceClose, what)
	require.Less(t, end.ExitBy, 4*time.Second, what)
	require.GreaterOrEqual(t, c.ConnectTimeout, time.Millisecond, what)
	require.Positive(t, c.MaxBufferedBytes, what)
}
