package engine

import (
	"net/http"
	"time"

	"github.com/labstack/echo/v4"
)

// Kinds of orders.
const (
	OrderLoadModel   = "load-model"
	OrderLoadAdapter = "load-adapter"
	OrderLoadVersion = "load-version"
	OrderSetRole     = "set-role"
)

// States of an order.
const (
	OrderRunning = "running"
	OrderDone    = "done"
	OrderRefused = "refused"
)

// Order is an order to the engine and its result. The engine does not authenticate
// the sender and executes an order again if it is received again.
type Order struct {
	// ID is assigned by the sender.
	ID string `json:"id"`
	// Kind is OrderLoadModel, OrderLoadAdapter, OrderLoadVersion or OrderSetRole.
	Kind string `json:"kind"`
	// Target is the name of the model, adapter or version to load, which then
	// appears in /v1/models, or the role to set.
	Target string `json:"target"`
	// Fencing is the sender's fencing token.
	Fencing int64 `json:"fencing"`
	// State is OrderRunning, OrderDone or OrderRefused. It is set by the engine.
	State string `json:"state"`
	// Reason is why the engine refused the order.
	Reason string `json:"reason,omitempty"`
}

func (e *Engine) placeOrder(c echo.Context) error {
	var o Order
	if err := c.Bind(&o); err != nil {
		return err
	}
	switch o.Kind {
	case OrderLoadModel, OrderLoadAdapter, OrderLoadVersion, OrderSetRole:
	default:
		return writeError(c, http.StatusBadRequest, "invalid_request_error", "unknown kind of order")
	}
	if placed := e.Place(o); placed.State == OrderRefused {
		return c.JSON(http.StatusConflict, placed)
	}
	o.State = OrderRunning
	return c.JSON(http.StatusAccepted, o)
}

// Place starts an order, or refuses it because of its fencing token. It returns the
// order with its state.
func (e *Engine) Place(o Order) Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	o.State, o.Reason = OrderRunning, ""
	if !e.faults.IgnoreFencing && o.Fencing < e.highestFencing {
		o.State, o.Reason = OrderRefused, "fencing number is too old"
	}
	e.highestFencing = max(e.highestFencing, o.Fencing)
	stored := o
	e.orders = append(e.orders, &stored)
	if o.State == OrderRunning && !e.closed {
		doneAt := time.Now().Add(time.Duration(float64(e.opts.OrderDuration) * e.faults.slowdown()))
		e.wg.Add(1)
		go e.executeOrder(&stored, doneAt)
	}
	return o
}

func (e *Engine) executeOrder(o *Order, doneAt time.Time) {
	defer e.wg.Done()
	if !sleepUntil(e.ctx, doneAt) {
		return
	}
	e.mu.Lock()
	defer e.mu.Unlock()
	o.State = OrderDone
	if o.Kind == OrderSetRole {
		e.role = o.Target
		return
	}
	for _, m := range e.models {
		if m == o.Target {
			return
		}
	}
	e.models = append(e.models, o.Target)
}

// Orders returns all orders by arrival, including repeated and refused ones.
func (e *Engine) Orders() []Order {
	e.mu.Lock()
	defer e.mu.Unlock()
	orders := make([]Order, 0, len(e.orders))
	for _, o := range e.orders {
		orders = append(orders, *o)
	}
	return orders
}

func (e *Engine) listOrders(c echo.Context) error {
	return c.JSON(http.StatusOK, map[string]any{"orders": e.Orders()})
}
