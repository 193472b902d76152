package config_test

import (
	"context"
	"fmt"
	"os"
	"path/filepath"
	"regexp"
	"strings"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"mothrouter/internal/broker"
	"mothrouter/internal/config"
	"mothrouter/internal/controlplane/distribution"
	"mothrouter/internal/decision"
	"mothrouter/internal/drain"
)

const validConfig = `{"name":"n3","listen":"127.0.0.1:8443","discovery":"127.0.0.1:8500","seed":"8c1f30d27a5be964",
"limits":{"cores":1.0,"memory_mb":128,"sockets":512},
"known":{"version":41,"full":true,"servers":[{"id":"s1","addr":"127.0.0.1:1","zone":"b","kind":"m2","cell":3,
"state":"leaving","weight":1.5,"started_ms":2500}]},
"settings":{"classes":[{"name":"c","deadlineS":2,"objectiveS":1,"semantics":"free"}],"zones":["a","b"],
"machineTypes":["m2"],"caps":{"openCap":9,"connIdleS":3,"connectTimeoutS":0.5,"streamsPerConn":7},
"familyInfo":{"cells":4,"slabs":8}}}`

func loadConfig(t *testing.T, text string, env map[string]string) (*config.Config, error) {
	path := filepath.Join(t.TempDir(), "config.json")
	require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
	return config.Load(func(key string) string {
		if key == "PROXY_CONFIG" {
			return path
		}
		return env[key]
	})
}

func TestLoadReadsFileAndEnvironment(t *testing.T) {
	c, err := loadConfig(t, validConfig, map[string]string{"PROXY_NAME": "n4", "PROXY_LISTEN": "127.0.0.1:9"})
	require.NoError(t, err)
	require.Equal(t, []any{"n4", "127.0.0.1:9", "127.0.0.1:8500", uint64(0x8c1f30d27a5be964), 128, 512},
		[]any{c.Name, c.Listen, c.Discovery, c.Seed, c.MemoryMB, c.Sockets})
	require.Equal(t, []any{9, 8, 7, 3 * time.Second, 500 * time.Millisecond, map[string]int{"c": 0}, int64(41)},
		[]any{c.ConcurrencyLimit, c.Shards, c.MaxStreams, c.ConnIdleTimeout, c.ConnectTimeout, c.Classes, c.CachedVersion})
	require.Equal(t, decision.CachedUpdate, c.CachedEndpoints.Mode)
	require.Equal(t, decision.Server{ID: "s1", Zone: 1, ReplicaSet: 3, State: decision.Draining, Capacity: 1.5, Started: 2.5},
		c.CachedEndpoints.Servers[0].Server)
	require.Equal(t, []time.Duration{2 * time.Second}, c.ClassDeadlines())
}

// The core has no two attempts of a part out. On a site that allows copies, msga-fantasy, the module asked for one where
// it should have taken the first attempt back, and each was stopped: with a zone cut off four in five queries were lost.
func TestLoadTurnsHedgingOff(t *testing.T) {
	c, err := loadConfig(t, strings.Replace(validConfig, `"caps":{`, `"caps":{"secondCopies":true,"cancel":true,`, 1), nil)
	require.NoError(t, err)
	require.False(t, c.Settings.HedgingAllowed)
	require.True(t, c.Settings.CancelAllowed)
}

// README starts the broker with it.
func TestLoadReadsDeployedExample(t *testing.T) {
	text, err := os.ReadFile("../../deploy/example.json")
	require.NoError(t, err)
	c, err := loadConfig(t, string(text), nil)
	require.NoError(t, err)
	require.Len(t, c.CachedEndpoints.Servers, 2)
	require.Len(t, c.Classes, 3)
}

// Where there are many servers, each can have a connection, as far as descriptors go; clients have what is left.
func TestLoadDividesDescriptorsByReplicaSets(t *testing.T) {
	for cells, want := range map[string][]int{"4": {256, 192}, "200": {223, 225}, "999": {192, 256}} {
		c, err := loadConfig(t, strings.Replace(validConfig, `"cells":4`, `"cells":`+cells, 1), nil)
		require.NoError(t, err)
		require.Equal(t, want, []int{c.MaxClientConns, c.MaxServerConns}, cells)
	}
}

// A file that is replaced moves discovery, though the environment named it at the start; a bad one changes
// nothing, and its key is named.
func TestReloadChangesDiscoveryOnly(t *testing.T) {
	path := filepath.Join(t.TempDir(), "config.json")
	write := func(before, after string) {
		require.NoError(t, os.WriteFile(path, []byte(strings.Replace(validConfig, before, after, 1)), 0o600))
	}
	write("", "")
	c, err := config.Load(func(key string) string {
		return map[string]string{"PROXY_CONFIG": path, "PROXY_DISCOVERY": "127.0.0.1:7"}[key]
	})
	require.NoError(t, err)
	for _, step := range []struct {
		old, new, want string
		waiting        []string
	}{
		{"", "", "127.0.0.1:7", nil},
		{"127.0.0.1:8500", "127.0.0.1:8501", "127.0.0.1:8501", nil},
		{`"sockets":512`, `"sockets":600`, "127.0.0.1:8500", []string{"limits"}},
		{`"openCap":9`, `"openCap":8`, "127.0.0.1:8500", []string{"settings"}},
	} {
		write(step.old, step.new)
		next, waiting, err := c.Reload()
		require.NoError(t, err)
		require.Equal(t, []any{step.want, step.waiting, 512, 9}, []any{next.Discovery, waiting, next.Sockets, next.ConcurrencyLimit})
		c = next
	}
	for old, new := range map[string]string{`"127.0.0.1:8500"`: `"x"`, `"deadlineS":2`: `"deadlineS":-2`, `{"name"`: ``} {
		write(old, new)
		_, _, err := c.Reload()
		require.Error(t, err)
	}
}

func TestLoadErrorsNameTheKey(t *testing.T) {
	for _, c := range []struct{ old, new, want string }{
		{`"listen":"127.0.0.1:8443",`, ``, "listen: is missing"},
		{`"discovery":"127.0.0.1:8500"`, `"discovery":"x"`, "discovery: "},
		{`8c1f30d27a5be964`, `zz`, "seed: "},
		{`"memory_mb":128`, `"memory_mb":1`, "limits.memory_mb: "},
		{`"sockets":512`, `"sockets":5`, "limits.sockets: "},
		{`"state":"leaving"`, `"state":"odd"`, "known: servers[0].state: "},
		{`"id":"s1"`, `"id":""`, "known: servers[0]: "},
		{`"deadlineS":2`, `"deadlineS":0`, "settings.classes[0].deadlineS: "},
		{`"name":"c"`, `"name":""`, "settings.classes[0].name: "},
		{`"semantics":"free"`, `"semantics":"odd"`, "settings: classes[0].semantics: "},
		{`"cells":4`, `"cells":0`, "settings.familyInfo.cells: "},
		{`"openCap":9`, `"openCap":-9`, "settings.caps.openCap: "},
		{`"connIdleS":3`, `"connIdleS":0`, "settings.caps.connIdleS: "},
		{`"connectTimeoutS":0.5`, `"connectTimeoutS":-1`, "settings.caps.connectTimeoutS: "},
		{`"streamsPerConn":7`, `"streamsPerConn":0`, "settings.caps.streamsPerConn: "},
		{`"settings":{`, `"odd":{`, "settings: is missing"},
		{`{"name"`, `["name"`, "PROXY_CONFIG: "},
	} {
		require.Contains(t, validConfig, c.old)
		_, err := loadConfig(t, strings.Replace(validConfig, c.old, c.new, 1), nil)
		require.ErrorContains(t, err, c.want)
	}
	_, err := config.Load(func(string) string { return "" })
	require.EqualError(t, err, "PROXY_CONFIG: is not set")
}

func TestLoadFlightErrorsNameTheKey(t *testing.T) {
	f, err := config.LoadFlight("../../deploy/flight.toml", loadValid(t))
	require.NoError(t, err)
	require.Equal(t, &config.Flight{Listen: "127.0.0.1:8815", Servers: []string{}, Connections: 64}, f)
	for text, want := range map[string]string{
		`servers = []`:                       "flight.listen: is missing",
		"listen = \"a:1\"\nserver = []":      "flight.server: is not known",
		"listen = \"a:1\"\nservers = [\"\"]": "flight.servers: entry 0",
		"listen = \"a:1\"\nconnections = 0":  "flight.connections: ",
		"listen = 1":                         "flight: ",
	} {
		path := filepath.Join(t.TempDir(), "f.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := config.LoadFlight(path, loadValid(t))
		require.ErrorContains(t, err, want)
	}
}

func TestLoadCoresErrorsNameTheKey(t *testing.T) {
	c, err := loadConfig(t, validConfig, nil) // 128 MB, 512 descriptors
	require.NoError(t, err)
	try := func(text string) (int, error) {
		path := filepath.Join(t.TempDir(), "cores.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		return config.LoadCores(path, c)
	}
	n, err := try("workers = 2")
	require.NoError(t, err)
	require.Equal(t, 2, n)
	for text, want := range map[string]string{
		"":                       "cores.workers: is missing",
		"workers = 0":            "cores.workers: 0 is below 1",
		"workers = -3":           "cores.workers: -3 is below 1",
		"workers = 17":           "bear 16",
		"workers = 9999999":      "bear 16",
		"workers = 2\nspeed = 1": "cores.speed: is not known",
		"workers = \"two\"":      "cores:",
	} {
		_, err := try(text)
		require.ErrorContains(t, err, want, text)
	}
	_, err = config.LoadCores("nowhere.toml", c)
	require.ErrorContains(t, err, "cores:")
}

// Whatever is switched on, all that may hold a descriptor at once fits the limit.
func TestLoadLeavesDescriptorsWithinTheLimit(t *testing.T) {
	const process, calls, accepted, away = 6, 4, 1, 4 // as config.minSpare counts
	file := filepath.Join(t.TempDir(), "flight.toml")
	require.NoError(t, os.WriteFile(file, []byte("listen = \"127.0.0.1:9\"\nconnections = 20\nservers = [\"a\", \"b\", \"c\"]\n"), 0o600))
	for _, sockets := range []int{64, 100, 256, 512, 1024, 4096} {
		for _, cells := range []string{"4", "200", "2000"} {
			for _, control := range []string{"", "127.0.0.1:7"} {
				for _, partners := range []bool{false, true} {
					text := strings.Replace(strings.Replace(validConfig, `"sockets":512`, fmt.Sprint(`"sockets":`, sockets), 1), `"cells":4`, `"cells":`+cells, 1)
					c, err := loadConfig(t, text, map[string]string{"PROXY_CONTROL": control})
					require.NoError(t, err)
					held := 0
					if partners {
						f, err := config.LoadFlight(file, c)
						if err != nil {
							require.ErrorContains(t, err, "flight.connections")
							require.Less(t, sockets, 256)
							continue
						}
						held = f.Connections + f.ServerConns
					}
					if control != "" && sockets >= 256 {
						held += 24 + 1
					}
					held += c.MaxClientConns + c.MaxServerConns + process + calls + accepted + away
					require.LessOrEqual(t, held, sockets+1, "%d sockets, %s cells, control %q, Flight %v", sockets, cells, control, partners)
					require.GreaterOrEqual(t, c.MaxClientConns, 8)
					require.Positive(t, c.MaxIdleConns)
				}
			}
		}
	}
}

// Absent, zero, tiny, huge and negative: each is refused by its key, or what is made of it serves.
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

type result chan broker.Result

func (r result) Finish(x broker.Result) { r <- x }

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

func loadValid(t *testing.T) *config.Config {
	c, err := loadConfig(t, validConfig, nil)
	require.NoError(t, err)
	return c
}

func TestLoadConfigFollowerErrorsNameTheKey(t *testing.T) {
	machines, err := config.LoadConfigFollower("../../deploy/configuration.toml", loadValid(t))
	require.NoError(t, err)
	require.Equal(t, &config.ConfigFollower{Name: "n3", Zone: "bern-1", Region: "bern",
		ControlMachines: []distribution.Machine{{Address: "127.0.0.1:7950", Zone: "bern-1", Region: "bern"}}}, machines)
	one := "[[control]]\naddress = \"127.0.0.1:%d\"\n"
	many := ""
	for i := range distribution.MaxMachines {
		many += fmt.Sprintf(one, 1+i)
	}
	for text, want := range map[string]string{
		``:                     "configuration.control: names 0",
		`zone = "z"`:           "configuration.control: names 0",
		many:                   "",
		many + "[[control]]\n": "configuration.control: names 9",
		"[[control]]\n":        "configuration.control[0].address: is missing",
		many[:len(many)/8*2] + fmt.Sprintf(one, 1):             "configuration.control[2].address: 127.0.0.1:1 stands twice",
		"speed = 1\n" + many:                                   "configuration.speed: is not known",
		many + "weight = 1\n":                                  "configuration.control.weight: is not known",
		"zone = 3\n" + many:                                    "configuration: ",
		"zone = \"" + strings.Repeat("z", 129) + "\"\n" + many: "configuration.zone: ",
		"name = \"\"\n" + many:                                 "configuration.name: ",
	} {
		path := filepath.Join(t.TempDir(), "configuration.toml")
		require.NoError(t, os.WriteFile(path, []byte(text), 0o600))
		_, err := config.LoadConfigFollower(path, loadValid(t))
		if want == "" {
			require.NoError(t, err)
		} else {
			require.ErrorContains(t, err, want)
		}
	}
	_, err = config.LoadConfigFollower(filepath.Join(t.TempDir(), "none"), loadValid(t))
	require.ErrorContains(t, err, "configuration: ")
}
