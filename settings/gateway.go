package settings

import (
	"os"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/document"
	"papayacroft/finding"
	"papayacroft/inventory"
)

// Gateway is the layout of the YAML settings file of a gateway.
type Gateway struct {
	Name          string `yaml:"name" required:"true"`
	FailureDomain string `yaml:"failureDomain" required:"true"`
	CallerAddress string `yaml:"callerAddress" required:"true"`
	// ReadyAddress serves the load balancer's readiness check: whether the daemon accepts callers.
	ReadyAddress   string `yaml:"readyAddress" required:"true"`
	PeerAddress    string `yaml:"peerAddress" required:"true"`
	MetricsAddress string `yaml:"metricsAddress"`
	// StoreAddress is the address of the metadata store.
	StoreAddress string `yaml:"storeAddress" required:"true"`
	// DrainNotice is the time between the platform's signal to stop and the moment when it kills the process.
	DrainNotice document.Duration `yaml:"drainNotice"`
	// MemoryMB is the memory limit of the process; 0 means no limit.
	MemoryMB int         `yaml:"memoryMB"`
	Intake   Intake      `yaml:"intake"`
	Retries  RetryBudget `yaml:"retries"`
	// Contracts are the words by which the platform asks for further behaviour, separated by commas; package platform translates
	// them into settings.
	Contracts string `yaml:"contracts"`
	Queue     Queue  `yaml:"queue"`
	Prefix    Prefix `yaml:"prefix"`
	Cold      Cold   `yaml:"cold"`
	Log       Log    `yaml:"log"`
}

// Queue is the queue of requests for which no endpoint has capacity.
type Queue struct {
	Enabled bool `yaml:"enabled"`
}

// RetryBudget limits how many requests all daemons together send again to another endpoint.
type RetryBudget struct {
	// Ratio is the number of retries that each request adds to the budget.
	Ratio float64 `yaml:"ratio"`
	// Extra is the number of retries per window that are allowed in addition, for all daemons together.
	Extra float64 `yaml:"extra"`
	// Window is the time over which requests and retries are counted.
	Window document.Duration `yaml:"window"`
}

// Prefix configures the use of the parts of prompts that engines hold.
type Prefix struct {
	// Enabled makes the choice of an engine weigh them for all services.
	Enabled bool `yaml:"enabled"`
}

const (
	defaultRetryRatio  = 0.1
	defaultRetryExtra  = 10
	defaultRetryWindow = 10 * time.Second
)

// LoadGateway reads a gateway's settings file and returns the settings with all findings.
func LoadGateway(file string) (*Gateway, finding.List, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	set, lst := ParseGateway(file, data)
	return set, lst, nil
}

// ParseGateway decodes and checks a gateway's settings and returns them with all findings.
func ParseGateway(file string, data []byte) (*Gateway, finding.List) {
	set := &Gateway{
		DrainNotice: document.Duration(defaultDrainNotice),
		Intake:      newIntake(defaultBodyStall, defaultReaderStall),
		Retries:     RetryBudget{Ratio: defaultRetryRatio, Extra: defaultRetryExtra, Window: document.Duration(defaultRetryWindow)},
		Log:         Log{Level: "info", Format: "json"},
	}
	doc, lst := document.Decode(file, data, set)
	if len(lst) == 0 {
		lst = set.validate()
	}
	doc.Locate(lst)
	lst.Sort()
	return set, lst
}

func (set *Gateway) validate() finding.List {
	var lst finding.List
	requireName(&lst, "name", set.Name)
	requireName(&lst, "failureDomain", set.FailureDomain)
	for _, adr := range []struct{ path, value string }{
		{"callerAddress", set.CallerAddress}, {"readyAddress", set.ReadyAddress}, {"peerAddress", set.PeerAddress},
		{"storeAddress", set.StoreAddress}, {"metricsAddress", set.MetricsAddress},
	} {
		if adr.path == "metricsAddress" && adr.value == "" {
			continue
		}
		if err := inventory.ValidateAddress(adr.value); err != nil {
			lst.Add(adr.path, "%s", err)
		}
	}
	if set.DrainNotice <= 0 || time.Duration(set.DrainNotice) > maxDrainNotice {
		lst.Add("drainNotice", "value %s is not allowed; more than 0 and at most %s is expected", time.Duration(set.DrainNotice), maxDrainNotice)
	}
	if set.MemoryMB < 0 {
		lst.Add("memoryMB", "value %d is not allowed; 0 or more is expected", set.MemoryMB)
	}
	set.Intake.validate(&lst, set.MemoryMB)
	if set.Retries.Ratio < 0 || set.Retries.Extra < 0 {
		lst.Add("retries", "ratio %g and extra %g are not allowed; 0 or more is expected", set.Retries.Ratio, set.Retries.Extra)
	}
	if set.Retries.Window <= 0 {
		lst.Add("retries.window", "value %s is not allowed; more than 0 is expected", time.Duration(set.Retries.Window))
	}
	set.Cold.validate(&lst)
	validateLog(&lst, set.Log)
	return lst
}
