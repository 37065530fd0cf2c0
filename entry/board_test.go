package entry

import "papayacroft/blackboard"

// fixedBoard is a Board that always returns the same snapshot.
type fixedBoard struct{ snapshot *blackboard.Snapshot }

// Snapshot returns the snapshot.
func (brd fixedBoard) Snapshot() *blackboard.Snapshot { return brd.snapshot }
