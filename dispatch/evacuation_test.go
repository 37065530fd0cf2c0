package dispatch

import "testing"

// TestChooseEvacuated checks the decisions of testdata/evacuation.yaml: no request goes to an evacuated failure domain.
func TestChooseEvacuated(t *testing.T) {
	testChoices(t, "testdata/evacuation.yaml")
}
