package dev

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
)

// callAdmin calls the administration API of a daemon with the operator's token and
// decodes the response into result.
func (f *Fleet) callAdmin(daemon int, method, path string, body, result any) error {
	encoded, err := json.Marshal(body)
	if err != nil {
		return err
	}
	req, err := http.NewRequest(method, "http://"+f.Daemons[daemon].AdminAddr()+path, bytes.NewReader(encoded))
	if err != nil {
		return err
	}
	req.Header.Set("Authorization", "Bearer "+OperatorToken)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		return err
	}
	if resp.StatusCode != http.StatusOK {
		return fmt.Errorf("%s %s: status %d, %s", method, path, resp.StatusCode, respBody)
	}
	return json.Unmarshal(respBody, result)
}

// serviceOrders returns the orders of the only service that has any, as a daemon
// reports them.
func (f *Fleet) serviceOrders(daemon int) (admin.ServiceOrders, error) {
	var result struct {
		Services []admin.ServiceOrders `json:"services"`
	}
	if err := f.callAdmin(daemon, http.MethodGet, "/v1/orders", nil, &result); err != nil {
		return admin.ServiceOrders{}, err
	}
	if len(result.Services) != 1 {
		return admin.ServiceOrders{}, fmt.Errorf("%d services have orders, want 1", len(result.Services))
	}
	return result.Services[0], nil
}

// Guards against a change of the model version that does not reach the engines of a
// running fleet, and against a stopped daemon that keeps the duty of placing orders.
func TestVersionChangeOfTheFleet(t *testing.T) {
	f := startFleet(t, "maracas")
	var current admin.Configuration
	if err := f.callAdmin(0, http.MethodGet, "/v1/configuration", nil, &current); err != nil {
		t.Fatal(err)
	}
	c, err := config.Parse("configuration", []byte(current.Text))
	if err != nil {
		t.Fatal(err)
	}
	pool := c.Services[f.Deployment.ModelService]
	pool.Version = "v2"
	c.Services[f.Deployment.ModelService] = pool
	edit := admin.EditRequest{Base: current.Revision, Reason: "new version", Text: string(config.Format(c))}
	var diff admin.DiffResult
	if err := f.callAdmin(1, http.MethodPost, "/v1/configuration/diff", edit, &diff); err != nil {
		t.Fatal(err)
	}
	if len(diff.Orders) != 1 || len(diff.Orders[0].Plan) != f.Deployment.Engines {
		t.Errorf("the diff shows %+v, want an order to each engine", diff.Orders)
	}
	var result admin.EditResult
	if err := f.callAdmin(0, http.MethodPost, "/v1/configuration", edit, &result); err != nil {
		t.Fatal(err)
	}
	eventually(t, func() error {
		s, err := f.serviceOrders(2)
		if err == nil && (s.Ready == 0 || s.Holder == "") {
			err = fmt.Errorf("no endpoint is ready: %+v", s)
		}
		return err
	})
	before, err := f.serviceOrders(0)
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithTimeout(context.Background(), waitTimeout)
	defer cancel()
	for i, d := range f.Daemons {
		if d.ID() == before.Holder {
			if err := f.StopDaemon(ctx, i); err != nil {
				t.Error(err)
			}
			break
		}
	}
	eventually(t, func() error {
		s, err := f.serviceOrders(0)
		if err == nil && (s.Holder == "" || s.Holder == before.Holder || s.Fence <= before.Fence) {
			err = fmt.Errorf("the duty is held by %q with fencing token %d, before by %q with %d",
				s.Holder, s.Fence, before.Holder, before.Fence)
		}
		return err
	})
	for i, e := range f.Engines {
		orders := e.Orders()
		if len(orders) > 1 || len(orders) == 1 && !strings.HasPrefix(orders[0].ID, f.Deployment.ModelService+"/") {
			t.Errorf("engine %d received %+v, want at most one order", i, orders)
		}
	}
}
