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

// Each number in the configuration is removed or replaced by zero or a tiny, huge or negative number. Either loading fails with
// an error that names the key, or a broker with that configuration serves requests.
func TestLoadExtremeValuesAreRejectedOrServe(t *testing.T) {
	full := strings.Replace(validConfig, `"settings":{`, `"settings":{"peersTotal":3,"tickS":0.005,"report":{"how":"piggyback"},
		"rules":{"coldShare":0.2,"warmUpS":17,"fallMultiple":2.5,"fallS":1.5,"drainGraceS":0.25,"budgetFree":3,"extraRatio":0.2,"budgetSpanS":10},`, 1)
	full = strings.Replace(full, `"caps":{`, `"caps":{"maxRetryAfterS":0.5,"sendCap":4,"retryAfter":true,"cancel":true,"probes":true,`, 1)
	full = strings.Replace(full, `"semantics":"free"}`, `"semantics":"guarded","windowS":2,"lateWorth":0.5,"worth":3,"aimStretch":1}`, 1)
	full = strings.Replace(full, `"slabs":8`, `"slabs":8,"reach":2,"bundleMax":1,"needByClass":[1],"classFloor":[0.8]`, 1)
	_, err := loadConfig(t, full, nil)
	require.NoError(t, err)
	fields := regexp.MustCompile(`"(\w+)":\[?(-?[\d.]+)\]?`).FindAllStringSubmatch(full, -1)
	require.Greater(t, len(fields), 30)
	for _, match := range fields {
		field, key, number := match[0], match[1], match[2]
		for _, extreme := range []string{"", "0", "1e-9", "1", "1e18", "1e300", "-1"} { // "": the key is removed
			edited := strings.Replace(full, field, strings.Replace(field, number, extreme, 1), 1)
			if extreme == "" {
				edited = strings.Replace(strings.Replace(full, field+",", "", 1), ","+field, "", 1)
			}
			c, err := loadConfig(t, edited, nil)
			if err != nil {
				require.ErrorContains(t, err, key, "%s: %s", key, extreme)
				continue
			}
			requireServes(t, c, key+": "+extreme)
		}
	}
}

// okLink answers each call immediately with success.
type okLink struct{}

func (okLink) Send(call *broker.Call) {
	if call.TryStart() {
		call.Finish(broker.CallResult{Status: decision.OK, LoadReport: decision.NoLoadReport, Value: []byte("v")})
	}
}
func (okLink) Cancel(*broker.Call) {}
func (okLink) CheckHealth(check *broker.HealthCheck) {
	check.Finish(broker.CallResult{LoadReport: decision.NoLoadReport})
}

// resultChan receives the result of one request.
type resultChan chan broker.Result

func (c resultChan) Finish(result broker.Result) { c <- result }

// requireServes checks that a broker with the configuration answers a request, and that the shutdown plan, the connect timeout
// and the buffer limit are usable.
func requireServes(t *testing.T, c *config.Config, setting string) {
	core := broker.New(broker.Options{Settings: c.Settings, ConcurrencyLimit: c.ConcurrencyLimit}, decision.New(c.Settings, 1), okLink{})
	ctx, cancel := context.WithCancel(t.Context())
	defer cancel()
	go core.Run(ctx)
	core.Update(broker.EndpointUpdate{Mode: decision.FullUpdate, Servers: []broker.Endpoint{
		{Addr: "a", Server: decision.Server{ID: "a", StartedAt: float64(time.Now().Unix())}}, {Addr: "b", Server: decision.Server{ID: "b", ReplicaSet: 1}}}})
	answer := make(resultChan, 1)
	core.Submit(&broker.Request{ID: "q", ReceivedAt: time.Now(), Timeout: 300 * time.Millisecond, Parts: []broker.Part{{Shard: 1, Weight: 1}}}, answer)
	select {
	case <-answer:
	case <-time.After(2 * time.Second):
		require.FailNow(t, "no answer within 2 s", setting)
	}
	plan := drain.PlanShutdown(c.LongestDeadline())
	require.Positive(t, plan.AnnounceClose, setting)
	require.Less(t, plan.ExitBy, 4*time.Second, setting)
	require.GreaterOrEqual(t, c.ConnectTimeout, time.Millisecond, setting)
	require.Positive(t, c.MaxBufferedBytes, setting)
}
