package daemon

import (
	"cmp"
	"slices"
	"time"

	"github.com/sirupsen/logrus"

	"papayacroft/blackboard"
	"papayacroft/entry"
	"papayacroft/inventory"
)

// deadlineCheck logs a warning for each service class with a deadline so long that a planned stop of the daemon can
// end its calls early.
type deadlineCheck struct {
	notice  time.Duration
	logger  logrus.FieldLogger
	version int64
}

// Step checks each configuration version once.
func (nch *deadlineCheck) Step(_ time.Time, brd *blackboard.Board) {
	if brd.Index == nil || brd.InForce.Number == nch.version {
		return
	}
	nch.version = brd.InForce.Number
	for _, cls := range longClasses(brd.Index.Configuration, nch.notice) {
		nch.logger.WithFields(logrus.Fields{
			"class": cls.Name, "deadline": time.Duration(cls.Deadline), "notice": nch.notice, "allowed": allowedDeadline(nch.notice),
		}).Warn("the class's deadline is longer than the notice allows; a planned stop may end its calls early")
	}
}

// allowedDeadline returns the longest deadline that a planned stop leaves room for: the time between the last request
// that a draining daemon accepts and the end of open responses.
func allowedDeadline(notice time.Duration) time.Duration {
	return notice - entry.DrainGrace - endMargin(notice)
}

// longClasses returns the service classes whose deadline is longer than a planned stop allows, sorted by name.
func longClasses(cfg *inventory.Configuration, notice time.Duration) []inventory.Class {
	var classes []inventory.Class
	for _, pool := range cfg.Pools {
		for _, opr := range pool.Operations {
			if cls := cfg.Classes[opr.Class]; time.Duration(cls.Deadline) > allowedDeadline(notice) {
				classes = append(classes, cls)
			}
		}
	}
	slices.SortFunc(classes, func(one, other inventory.Class) int { return cmp.Compare(one.Name, other.Name) })
	return slices.CompactFunc(classes, func(one, other inventory.Class) bool { return one.Name == other.Name })
}
