// Package settings reads and checks the settings files of the daemons.
package settings

import (
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/gravitational/trace"

	"papayacroft/document"
	"papayacroft/finding"
	"papayacroft/inventory"
)

// Settings is the layout of the daemon's YAML settings file.
type Settings struct {
	Name            string            `yaml:"name" required:"true"`
	FailureDomain   string            `yaml:"failureDomain" required:"true"`
	Region          string            `yaml:"region" required:"true"`
	CallerAddress   string            `yaml:"callerAddress" required:"true"`
	AdminAddress    string            `yaml:"adminAddress" required:"true"`
	PeerAddress     string            `yaml:"peerAddress" required:"true"`
	Platform        Platform          `yaml:"platform" required:"true"`
	PositionKeyFile string            `yaml:"positionKeyFile" required:"true"`
	DrainNotice     document.Duration `yaml:"drainNotice"`
	// MemoryMB is the memory limit of the process; 0 means no limit.
	MemoryMB int    `yaml:"memoryMB"`
	Intake   Intake `yaml:"intake"`
	Log      Log    `yaml:"log"`
}

// Platform holds the settings of the platform's services, with the base URL of each.
type Platform struct {
	LogURL     string `yaml:"logURL" required:"true"`
	VMsURL     string `yaml:"vmsURL" required:"true"`
	WeightsURL string `yaml:"weightsURL"`
	// LogRetention is the time after which the log deletes a record.
	LogRetention document.Duration `yaml:"logRetention"`
}

// Log holds the level and the format of the daemon's log lines.
type Log struct {
	Level  string `yaml:"level"`
	Format string `yaml:"format"`
}

const (
	defaultDrainNotice  = 30 * time.Second
	defaultLogRetention = 24 * time.Hour
	// minLogRetention leaves enough time to append a new snapshot, after a random delay, before the old one expires.
	minLogRetention = 4 * time.Second
	// maxNameBytes limits the names that each member's entry in a gossip message contains, to keep the messages small.
	maxNameBytes        = 48
	maxDrainNotice      = time.Hour
	minPositionKeyBytes = 32
)

// Load reads a settings file, checks it and the position key file that it names, and returns all findings.
func Load(file string) (*Settings, finding.List, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, nil, trace.ConvertSystemError(err)
	}
	set, doc, lst := parse(file, data)
	if len(lst) == 0 {
		if _, err := set.PositionKey(); err != nil {
			lst.Add("positionKeyFile", "%s", trace.UserMessage(err))
		}
	}
	doc.Locate(lst)
	return set, lst, nil
}

// Parse decodes and checks the settings and returns them with all findings.
func Parse(file string, data []byte) (*Settings, finding.List) {
	set, _, lst := parse(file, data)
	return set, lst
}

func parse(file string, data []byte) (*Settings, *document.Document, finding.List) {
	set := &Settings{
		DrainNotice: document.Duration(defaultDrainNotice),
		Platform:    Platform{LogRetention: document.Duration(defaultLogRetention)},
		Intake:      newIntake(entryBodyStall, entryReaderStall),
		Log:         Log{Level: "info", Format: "text"},
	}
	doc, lst := document.Decode(file, data, set)
	if len(lst) == 0 {
		lst = set.Validate()
	}
	doc.Locate(lst)
	lst.Sort()
	return set, doc, lst
}

// Validate checks the settings and returns all findings.
func (set *Settings) Validate() finding.List {
	var lst finding.List
	requireName(&lst, "name", set.Name)
	requireName(&lst, "failureDomain", set.FailureDomain)
	requireName(&lst, "region", set.Region)
	for _, txt := range []struct{ path, value string }{{"name", set.Name}, {"failureDomain", set.FailureDomain}} {
		if len(txt.value) > maxNameBytes {
			lst.Add(txt.path, "value has %d bytes; at most %d are allowed", len(txt.value), maxNameBytes)
		}
	}
	for _, adr := range []struct{ path, value string }{
		{"callerAddress", set.CallerAddress},
		{"adminAddress", set.AdminAddress},
		{"peerAddress", set.PeerAddress},
	} {
		if err := inventory.ValidateAddress(adr.value); err != nil {
			lst.Add(adr.path, "%s", err)
		}
	}
	requireURL(&lst, "platform.logURL", set.Platform.LogURL)
	requireURL(&lst, "platform.vmsURL", set.Platform.VMsURL)
	if set.Platform.WeightsURL != "" {
		requireURL(&lst, "platform.weightsURL", set.Platform.WeightsURL)
	}
	if time.Duration(set.Platform.LogRetention) < minLogRetention {
		lst.Add("platform.logRetention", "value %s is not allowed; at least %s is expected", time.Duration(set.Platform.LogRetention), minLogRetention)
	}
	if set.PositionKeyFile == "" {
		lst.Add("positionKeyFile", "value is missing")
	}
	if set.DrainNotice <= 0 || time.Duration(set.DrainNotice) > maxDrainNotice {
		lst.Add("drainNotice", "value %s is not allowed; more than 0 and at most %s is expected", time.Duration(set.DrainNotice), maxDrainNotice)
	}
	if set.MemoryMB < 0 {
		lst.Add("memoryMB", "value %d is not allowed; 0 or more is expected", set.MemoryMB)
	}
	set.Intake.validate(&lst, set.MemoryMB)
	validateLog(&lst, set.Log)
	return lst
}

// PositionKey reads the key that signs stream positions from PositionKeyFile.
func (set *Settings) PositionKey() ([]byte, error) {
	data, err := os.ReadFile(set.PositionKeyFile)
	if err != nil {
		return nil, trace.ConvertSystemError(err)
	}
	key := strings.TrimSpace(string(data))
	if len(key) < minPositionKeyBytes {
		return nil, trace.BadParameter("position key file %q holds %d bytes; at least %d are expected", set.PositionKeyFile, len(key), minPositionKeyBytes)
	}
	return []byte(key), nil
}

func validateLog(lst *finding.List, log Log) {
	switch log.Level {
	case "debug", "info", "warning", "error":
	default:
		lst.Add("log.level", "level %q is not allowed; debug, info, warning or error is expected", log.Level)
	}
	if log.Format != "text" && log.Format != "json" {
		lst.Add("log.format", "format %q is not allowed; text or json is expected", log.Format)
	}
}

func requireName(lst *finding.List, path, value string) {
	if !inventory.ValidName(value) {
		lst.Add(path, "name %q is not allowed; %s are expected", value, inventory.NameRule)
	}
}

func requireURL(lst *finding.List, path, value string) {
	parsed, err := url.Parse(value)
	if err != nil || parsed.Scheme != "http" && parsed.Scheme != "https" || inventory.ValidateAddress(parsed.Host) != nil {
		lst.Add(path, "URL %q is not allowed; http://IP:port is expected", value)
	}
}
