package test

import (
	"fmt"
	"os"
	"strconv"
	"strings"

	"github.com/rogpeppe/go-internal/testscript"

	"papayacroft/standin"
)

// cmdCluster chooses free ports and writes settings: cluster DAEMONS ENGINES SERVICES.
// It sets LOG, VMS, WEIGHTS, and for each number i ENTRYi, ADMINi, PEERi, ENGINEi and SERVICEi to IP:port,
// DAEMONS to all admin addresses, and writes entry-i.yaml, vms.json and position.key.
func cmdCluster(ts *testscript.TestScript, _ bool, args []string) {
	if len(args) != 3 {
		ts.Fatalf("usage: cluster DAEMONS ENGINES SERVICES")
	}
	counts := make([]int, len(args))
	for i, arg := range args {
		count, err := strconv.Atoi(arg)
		ts.Check(err)
		counts[i] = count
	}
	names := []string{"LOG", "VMS", "WEIGHTS"}
	for i, prefixes := range [][]string{{"ENTRY", "ADMIN", "PEER"}, {"ENGINE"}, {"SERVICE"}} {
		for number := 1; number <= counts[i]; number++ {
			for _, prefix := range prefixes {
				names = append(names, prefix+strconv.Itoa(number))
			}
		}
	}
	for i, address := range freeAddresses(ts, len(names)) {
		ts.Setenv(names[i], address)
	}
	ts.Check(writeFile(ts.MkAbs("position.key"), strings.Repeat("scenario-key-", 4)))
	writeDaemonFiles(ts, counts[0])
}

func writeDaemonFiles(ts *testscript.TestScript, daemons int) {
	domains := []string{"akl-a", "akl-b", "wlg-a", "chc-a"}
	var vms, admins []string
	for number := 1; number <= daemons; number++ {
		suffix := strconv.Itoa(number)
		domain := domains[(number-1)%len(domains)]
		settings := fmt.Sprintf(`name: entry-%s
failureDomain: %s
region: aotearoa
callerAddress: %s
adminAddress: %s
peerAddress: %s
platform:
  logURL: http://%s
  vmsURL: http://%s
  weightsURL: http://%s
positionKeyFile: position.key
drainNotice: 5s
log:
  level: debug
  format: json
`, suffix, domain, ts.Getenv("ENTRY"+suffix), ts.Getenv("ADMIN"+suffix), ts.Getenv("PEER"+suffix),
			ts.Getenv("LOG"), ts.Getenv("VMS"), ts.Getenv("WEIGHTS"))
		ts.Check(writeFile(ts.MkAbs("entry-"+suffix+".yaml"), settings))
		admins = append(admins, ts.Getenv("ADMIN"+suffix))
		vms = append(vms, fmt.Sprintf(`{"name":"entry-%s","address":%q,"failureDomain":%q,"state":"live"}`,
			suffix, ts.Getenv("PEER"+suffix), domain))
	}
	ts.Setenv("DAEMONS", strings.Join(admins, ","))
	ts.Check(writeFile(ts.MkAbs("vms.json"), "["+strings.Join(vms, ",")+"]"))
}

func freeAddresses(ts *testscript.TestScript, count int) []string {
	addresses, err := standin.FreeAddresses(count)
	ts.Check(err)
	return addresses
}

// cmdExpand replaces $NAME in files by the value of the script's variable NAME: expand FILE...
func cmdExpand(ts *testscript.TestScript, _ bool, args []string) {
	for _, arg := range args {
		data, err := os.ReadFile(ts.MkAbs(arg))
		ts.Check(err)
		ts.Check(writeFile(ts.MkAbs(arg), os.Expand(string(data), ts.Getenv)))
	}
}

func writeFile(name, content string) error {
	return os.WriteFile(name, []byte(content), 0o600)
}
