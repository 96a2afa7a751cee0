package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strings"
	"time"

	"github.com/alecthomas/kingpin/v2"
	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/admin"
	"github.com/azurehatch/azurehatch/internal/config"
	"github.com/azurehatch/azurehatch/internal/failure"
)

// Exit codes of the commands that use the administration API, in addition to
// the general ones.
const (
	// ExitConflict means that the request conflicts with another edit, a guard or
	// the current state, or that its base revision is stale.
	ExitConflict = 3
	// ExitDenied means that the token is missing or invalid, or that its role does
	// not allow the operation.
	ExitDenied = 4
	// ExitUnavailable means that the fleet did not answer or was overloaded, or that
	// the outcome is unknown. The command can be repeated with the same --op-id.
	ExitUnavailable = 5
)

const (
	tokenEnv      = "AZUREHATCH_TOKEN"
	clientTimeout = time.Minute
	// maxResponseBytes has room for the configuration of the target size in JSON.
	maxResponseBytes = 64 << 20
)

// exitCode returns the exit code for an error of a command.
func exitCode(err error) int {
	var p *admin.Problem
	var errs config.Errors
	var transport *url.Error
	switch {
	case errors.As(err, &errs), errors.Is(err, errUsage):
		return ExitUsage
	case errors.As(err, &transport):
		return ExitUnavailable
	case !errors.As(err, &p):
		return ExitFailure
	}
	switch p.Status {
	case http.StatusBadRequest, http.StatusUnprocessableEntity:
		return ExitUsage
	case http.StatusConflict:
		return ExitConflict
	case http.StatusUnauthorized, http.StatusForbidden:
		return ExitDenied
	case http.StatusTooManyRequests, http.StatusServiceUnavailable, http.StatusGatewayTimeout:
		return ExitUnavailable
	}
	return ExitFailure
}

// client calls the administration API as the flags of a command say.
type client struct {
	base, tokenFile, output *string
	out                     io.Writer
}

// parentCommand returns the parent command of that name and creates it on first
// use, so that several commands can share it.
func parentCommand(app *kingpin.Application, name, help string) *kingpin.CmdClause {
	if cmd := app.GetCommand(name); cmd != nil {
		return cmd
	}
	return app.Command(name, help)
}

// addClientFlags adds the flags for the administration API to a command.
func addClientFlags(cmd *kingpin.CmdClause, out io.Writer) *client {
	return &client{
		out:       out,
		base:      cmd.Flag("admin", "URL of the administration API.").Envar("AZUREHATCH_ADMIN").Required().String(),
		tokenFile: cmd.Flag("token-file", "File with the operator token; default is the variable "+tokenEnv+".").String(),
		output:    addOutputFlag(cmd),
	}
}

func addOutputFlag(cmd *kingpin.CmdClause) *string {
	return cmd.Flag("output", "Output format: text or json.").Default("text").Enum("text", "json")
}

// token returns the operator token from the token file or the environment.
func (c *client) token() (string, error) {
	if *c.tokenFile == "" {
		return os.Getenv(tokenEnv), nil
	}
	content, err := os.ReadFile(*c.tokenFile)
	return strings.TrimSpace(string(content)), errors.Wrap(err, "token file")
}

// call sends a request and decodes the response into result. The error wraps an
// *admin.Problem if the API refused the request.
func (c *client) call(method, path string, body, result any) error {
	token, err := c.token()
	if err != nil {
		return err
	}
	var content io.Reader
	if body != nil {
		encoded, err := json.Marshal(body)
		if err != nil {
			return errors.WithStack(err)
		}
		content = bytes.NewReader(encoded)
	}
	ctx, cancel := context.WithTimeout(context.Background(), clientTimeout)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, method, strings.TrimSuffix(*c.base, "/")+path, content)
	if err != nil {
		return errors.WithStack(err)
	}
	req.Header.Set("Authorization", "Bearer "+token)
	req.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		return failure.At(err, "admin."+method, *c.base)
	}
	defer resp.Body.Close()
	respBody, err := io.ReadAll(io.LimitReader(resp.Body, maxResponseBytes))
	if err != nil {
		return failure.At(err, "admin."+method, *c.base)
	}
	if resp.StatusCode != http.StatusOK {
		return failure.At(problemError(resp.StatusCode, respBody), "admin."+method+" "+path, *c.base)
	}
	return errors.Wrap(json.Unmarshal(respBody, result), "decode response of the administration API")
}

// problemError returns the *admin.Problem of a response with an error status.
func problemError(status int, respBody []byte) error {
	var p admin.Problem
	if err := json.Unmarshal(respBody, &p); err != nil || p.Title == "" {
		p = admin.Problem{Title: http.StatusText(status), Detail: "the response has no problem document"}
	}
	p.Status = status
	if p.OpID != "" {
		p.Detail += " (op_id " + p.OpID + ")"
	}
	return &p
}

// print writes v as JSON or calls text, as the output format of the command says.
func (c *client) print(v any, text func()) error {
	return printAs(c.out, *c.output, v, text)
}

// printAs calls text if format is "text", and else writes v as JSON.
func printAs(out io.Writer, format string, v any, text func()) error {
	if format == "text" {
		text()
		return nil
	}
	enc := json.NewEncoder(out)
	enc.SetIndent("", "  ")
	return errors.WithStack(enc.Encode(v))
}

func printChanges(out io.Writer, changes []config.Change) {
	for _, c := range changes {
		fmt.Fprintf(out, "%s %s\n", c.Op, c.ID)
		for _, f := range c.Fields {
			fmt.Fprintf(out, "  %s: %q -> %q\n", f.Key, f.Old, f.New)
		}
	}
}
