package orders

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/failure"
	"github.com/azurehatch/azurehatch/internal/order"
)

const (
	ordersPath = "/admin/orders"
	modelsPath = "/v1/models"
	healthPath = "/health"
	// readTimeout limits the time to read an endpoint's state.
	readTimeout = 2 * time.Second
	// maxReportBytes limits the size of an endpoint's list of models.
	maxReportBytes = 64 << 10
	// kindSetRole is the name of order.ChangeRole on the wire.
	kindSetRole = "set-role"
)

// errNotHeld is returned for a send or an edit if the duty is no longer
// guaranteed to be held before it is written.
var errNotHeld = errors.New("duty no longer guaranteed to be held")

// wireOrder is the request body of an order to an endpoint.
type wireOrder struct {
	ID      string `json:"id"`
	Kind    string `json:"kind"`
	Target  string `json:"target"`
	Fencing int64  `json:"fencing"`
}

// guardedBody is a request body that checks the duty when it is first read,
// which the transport does directly before it writes to the connection. A
// request whose body fails is incomplete, so no endpoint runs it.
type guardedBody struct {
	io.Reader
	check         func() bool
	read, refused atomic.Bool
}

// Read implements io.Reader.
func (b *guardedBody) Read(p []byte) (int, error) {
	if b.read.CompareAndSwap(false, true) && !b.check() {
		b.refused.Store(true)
	}
	if b.refused.Load() {
		return 0, errNotHeld
	}
	return b.Reader.Read(p)
}

// Close implements io.Closer.
func (b *guardedBody) Close() error { return nil }

// sendOrder sends an order once, without retries.
func (m *Manager) sendOrder(
	service string, send order.Send, addr string, check func() bool,
) (order.Result, error) {
	o := send.Order
	w := wireOrder{
		ID: fmt.Sprintf("%s/%d", service, o.ID), Kind: string(o.Action.Kind),
		Target: strings.TrimSuffix(o.Action.Value, "@"), Fencing: int64(o.Fence),
	}
	if o.Action.Kind == order.ChangeRole {
		w.Kind = kindSetRole
	}
	content, err := json.Marshal(w)
	if err != nil {
		return order.ResultUnsent, errors.WithStack(err)
	}
	ctx, cancel := context.WithTimeout(m.ctx, send.Timeout)
	defer cancel()
	body := &guardedBody{Reader: bytes.NewReader(content), check: check}
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+addr+ordersPath, body)
	if err != nil {
		return order.ResultUnsent, errors.WithStack(err)
	}
	req.ContentLength = int64(len(content))
	req.Header.Set("Content-Type", "application/json")
	resp, err := m.orderClient.Do(req)
	switch {
	case body.refused.Load():
		return order.ResultUnsent, errNotHeld
	case err != nil && !body.read.Load():
		return order.ResultFailed, err
	case err != nil:
		return order.ResultUnknown, err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxReportBytes))
	return resultOfStatus(resp.StatusCode)
}

// resultOfStatus returns the result that the status of an answer means for the
// order.
func resultOfStatus(status int) (order.Result, error) {
	switch {
	case status/100 == 2:
		return order.ResultAccepted, nil
	case status == http.StatusConflict:
		return order.ResultRefused, nil
	case status >= http.StatusOK && status < http.StatusInternalServerError && status != http.StatusRequestTimeout:
		return order.ResultFailed, errors.Errorf("status %d", status)
	}
	// After a server error, or a status outside of the protocol, it is unknown whether the
	// endpoint accepted the order.
	return order.ResultUnknown, errors.Errorf("status %d", status)
}

// endpointReport is the state of an endpoint as it reported it.
type endpointReport struct {
	// startedAt is when the request was sent, so the state is not older.
	startedAt time.Time
	models    []string
	// reachable is false if the list of models could not be read.
	reachable, healthy bool
}

// readEndpoint requests an endpoint's models and its health.
func (m *Manager) readEndpoint(ctx context.Context, e endpoint) endpointReport {
	ctx, cancel := context.WithTimeout(ctx, readTimeout)
	defer cancel()
	r := endpointReport{startedAt: time.Now()}
	var list struct {
		Data []struct {
			ID string `json:"id"`
		} `json:"data"`
	}
	if _, err := m.getJSON(ctx, e.addr, modelsPath, &list); err != nil {
		m.opts.Log.Debug().Err(err).Msg("endpoint state not read")
		return r
	}
	for _, d := range list.Data {
		r.models = append(r.models, d.ID)
	}
	r.reachable = true
	status, err := m.getJSON(ctx, e.addr, healthPath, nil)
	r.healthy = err == nil || status == http.StatusNotFound || status == http.StatusMethodNotAllowed
	return r
}

func (m *Manager) getJSON(ctx context.Context, addr, path string, to any) (int, error) {
	const step = "orders.observe"
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+path, nil)
	if err != nil {
		return 0, failure.At(err, step, addr)
	}
	resp, err := m.client.Do(req)
	if err != nil {
		return 0, failure.At(err, step, addr)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(io.LimitReader(resp.Body, maxReportBytes))
	if err == nil && resp.StatusCode != http.StatusOK {
		err = errors.Errorf("status %d", resp.StatusCode)
	}
	if err == nil && to != nil {
		err = json.Unmarshal(content, to)
	}
	return resp.StatusCode, failure.At(err, step, addr)
}

// observedState converts a report to the observed state of package order.
// Models, adapters and versions are names in one list; a version is listed as
// "version" or "model@version".
func (r endpointReport) observedState(d order.Desired, e endpoint, leaving bool) order.Observed {
	o := order.Observed{
		Endpoint: e.id, Healthy: r.reachable && r.healthy, Leaving: leaving, ChecksFencing: e.checksFencing,
	}
	if !r.reachable {
		// An endpoint whose state is unknown gets no order: it would fail and
		// count against the rollout. The endpoint is therefore presented as
		// unhealthy and in the desired state, with a zero time, so that it does
		// not decide the outcome of an open order.
		o.Model, o.Version, o.Adapters = d.Model, d.Version, d.Adapters
		return o
	}
	o.At = r.startedAt
	for _, name := range r.models {
		model, version, both := strings.Cut(name, "@")
		switch {
		case name == d.Model:
			o.Model = name
		case both && model == d.Model:
			o.Model, o.Version = model, version
		case slices.Contains(d.Adapters, name):
			o.Adapters = append(o.Adapters, name)
		default:
			o.Version = name
		}
	}
	if d.Version == "" || slices.Contains(r.models, d.Version) || slices.Contains(r.models, d.Model+"@"+d.Version) {
		o.Version = d.Version
	}
	return o
}
