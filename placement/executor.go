package placement

import (
	"context"
	"math/rand/v2"
	"time"

	"github.com/gravitational/trace"
	"github.com/sirupsen/logrus"

	"papayacroft/endpoint"
)

const (
	// storePause is the least time for which a pool requests no permit after the weight store refused one,
	// so that other pools get permits.
	storePause = time.Second
	// orderTimeout is half the time that the lease's margins leave between the last order of a holder and the first one
	// of its successor, so that an order takes effect within that time.
	orderTimeout = 2 * time.Second
)

// Fence returns the fencing token for an order, and whether the lease allows an order at this moment.
type Fence interface {
	MayOrder(pool string, checksFence bool) (int64, bool)
}

// Orderer sends orders to engines.
type Orderer interface {
	Order(ctx context.Context, tgt endpoint.Target, ord endpoint.Order) error
}

// Store grants permits to load weights from the weight store.
type Store interface {
	Acquire(ctx context.Context, model string, bytes int64) error
}

// Executor sends the orders of one pool's plans to the engines.
type Executor struct {
	Pool        string
	ChecksFence bool
	Fence       Fence
	Orders      Orderer
	// Store is nil if loads need no permit.
	Store  Store
	Logger logrus.FieldLogger

	pausedUntil time.Time
}

// Execute sends the order of one move and reports whether it was sent. After an error the engine may have accepted
// the order nevertheless.
func (exe *Executor) Execute(ctx context.Context, now time.Time, mov Move, address string, weightBytes int64) (bool, error) {
	if now.Before(exe.pausedUntil) {
		return false, trace.LimitExceeded("no permit is requested from the weight store until %s, after a refusal", exe.pausedUntil.Format(time.RFC3339))
	}
	if _, ok := exe.Fence.MayOrder(exe.Pool, exe.ChecksFence); !ok {
		return false, nil
	}
	if exe.Store != nil {
		if err := exe.Store.Acquire(ctx, mov.To.Model, weightBytes); err != nil {
			exe.pausedUntil = now.Add(storePause + rand.N(storePause))
			exe.logger(mov).WithError(err).Info("weight store granted no permit; placement order postponed")
			return false, trace.Wrap(err)
		}
	}
	ctx, cancel := context.WithTimeout(ctx, orderTimeout)
	defer cancel()
	// The wait for the permit may have been long, so the lease is checked again right before the order.
	token, ok := exe.Fence.MayOrder(exe.Pool, exe.ChecksFence)
	if !ok {
		exe.logger(mov).Info("placement order dropped: lease is no longer held")
		return false, nil
	}
	err := exe.Orders.Order(ctx, endpoint.Target{Name: mov.Engine, Address: address}, endpoint.Order{
		Fence: token, Model: mov.To.Model, Adapter: mov.To.Adapter, Version: mov.To.Version,
		Role: mov.To.Role, Action: endpoint.ActionAssign,
	})
	log := exe.logger(mov).WithField("token", token)
	if err != nil {
		log.WithError(err).Warn("placement order failed")
		return true, trace.Wrap(err)
	}
	log.Info("placement order sent")
	return true, nil
}

func (exe *Executor) logger(mov Move) logrus.FieldLogger {
	return exe.Logger.WithFields(logrus.Fields{
		"pool": exe.Pool, "engine": mov.Engine, "from": mov.From, "model": mov.To.Model,
		"version": VersionLabel(mov.To), "reason": mov.Reason, "gain": mov.Gain, "rejections": mov.Rejections,
	})
}
