package control

import (
	"slices"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/catalog"
)

// A version that arrives from the store and from several peers must be reported once, and one that is ignored never.
func TestOnConfigurationIsCalledOnceForEachVersion(t *testing.T) {
	var got []int64
	ctl := New()
	ctl.Logger = logrus.New()
	ctl.OnConfiguration = func(cat *catalog.Catalog) { got = append(got, cat.Version) }
	for _, version := range []int64{3, 3, 2, 4, 3} {
		ConfigurationUpdate{Catalog: catalog.NewCatalog(version, nil, nil, nil)}.Apply(time.Unix(1_700_000_000, 0), ctl)
	}
	if want := []int64{3, 4}; !slices.Equal(got, want) {
		t.Errorf("got versions %v, want %v", got, want)
	}
}
