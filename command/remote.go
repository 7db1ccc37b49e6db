package command

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/violettally/violettally/adapter/operators"
	"github.com/violettally/violettally/config"
	"github.com/violettally/violettally/decision"
)

// nodeCallTimeout limits one call to a node, including reading the body.
const nodeCallTimeout = 15 * time.Second

// callNode sends a request to a node and reads the response body.
func callNode(method, node, path, key string, body []byte) (status int, responseBody []byte, err error) {
	request, err := http.NewRequest(method, strings.TrimSuffix(node, "/")+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}
	request.Header.Set("Authorization", "Bearer "+key)
	client := http.Client{Timeout: nodeCallTimeout}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	responseBody, err = io.ReadAll(response.Body)
	return response.StatusCode, responseBody, err
}

// apply sends the file with a new change ID, or with the one given by --change.
// If the outcome is unknown, repeating the command with the same change ID is
// safe and reports the outcome.
func (r *runner) apply(args *applyArgs) int {
	source, err := os.ReadFile(args.File)
	if err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitFailure
	}
	change := args.Change
	if change == "" {
		change = uuid.Must(uuid.NewV7()).String()
	}
	query := url.Values{"file": {args.File}, "change": {change}}
	if args.Expect != nil {
		query.Set("expect", strconv.FormatInt(*args.Expect, 10))
	}
	status, body, err := callNode(http.MethodPost, args.Node, "/v1/config?"+query.Encode(), args.Key, source)
	var applied operators.ApplyResponse
	if err == nil {
		err = json.Unmarshal(body, &applied)
	}
	switch {
	case err != nil:
		fmt.Fprintln(r.stderr, err)
		fmt.Fprintf(r.stderr, "outcome unknown; retry with: violettally apply %s --change %s\n", args.File, change)
		return ExitUnknown
	case status == http.StatusOK:
		fmt.Fprintf(r.stdout, "revision %d in force\n", applied.Revision)
		return ExitOK
	case status == http.StatusUnprocessableEntity:
		for _, fault := range applied.Faults {
			fmt.Fprintln(r.stderr, fault)
		}
		fmt.Fprintf(r.stderr, "%d faults; nothing was applied\n", len(applied.Faults))
		return ExitUsage
	case status == http.StatusConflict:
		r.printConflict(applied)
		return ExitConflict
	case status == http.StatusServiceUnavailable:
		fmt.Fprintln(r.stderr, applied.Message)
		fmt.Fprintf(r.stderr, "outcome unknown; retry with: violettally apply %s --change %s\n", args.File, change)
		return ExitUnknown
	default:
		fmt.Fprintf(r.stderr, "node responded with status %d: %s\n", status, body)
		return ExitFailure
	}
}

// printConflict explains that another apply came first and where the files
// differ.
func (r *runner) printConflict(applied operators.ApplyResponse) {
	fmt.Fprintf(r.stderr, "nothing was applied: %s\n", applied.Message)
	fmt.Fprintf(r.stderr, "revision %d by %s differs from your file at:\n", applied.Revision, applied.By)
	for _, path := range applied.Differs {
		fmt.Fprintln(r.stderr, " ", path)
	}
}

func (r *runner) show(args *showArgs) int {
	switch args.What {
	case "config", "view", "rollouts", "ledger":
	default:
		fmt.Fprintf(r.stderr, "show %s: expected config, view, rollouts or ledger\n", args.What)
		return ExitUsage
	}
	status, body, err := callNode(http.MethodGet, args.Node, "/v1/"+args.What, args.Key, nil)
	if code, ok := r.checkResponse(status, body, err); !ok {
		return code
	}
	if args.What == "config" {
		var d config.Document
		if err := json.Unmarshal(body, &d); err != nil {
			fmt.Fprintln(r.stderr, err)
			return ExitFailure
		}
		fmt.Fprintf(r.stderr, "revision %d, applied by %s at %s from %s\n", d.Revision, d.By, d.AppliedAt.Format(time.RFC3339), d.File)
		fmt.Fprint(r.stdout, d.Source)
		return ExitOK
	}
	return r.printJSON(body)
}

// checkResponse prints the error of a failed call to a node. It returns the exit
// code and whether the call succeeded.
func (r *runner) checkResponse(status int, body []byte, err error) (code int, ok bool) {
	switch {
	case err != nil:
		fmt.Fprintln(r.stderr, err)
	case status != http.StatusOK:
		fmt.Fprintf(r.stderr, "node responded with status %d: %s\n", status, bytes.TrimSpace(body))
	default:
		return ExitOK, true
	}
	return ExitFailure, false
}

func (r *runner) printJSON(body []byte) int {
	var out bytes.Buffer
	if err := json.Indent(&out, body, "", "  "); err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitFailure
	}
	fmt.Fprintln(r.stdout, strings.TrimSpace(out.String()))
	return ExitOK
}

func (r *runner) explain(args *explainArgs) int {
	path := "/v1/explain/" + url.PathEscape(args.RequestID) + "?" + url.Values{"account": {args.Account}}.Encode()
	status, body, err := callNode(http.MethodGet, args.Node, path, args.Key, nil)
	if code, ok := r.checkResponse(status, body, err); !ok {
		return code
	}
	var s decision.Summary
	if err := json.Unmarshal(body, &s); err != nil {
		fmt.Fprintln(r.stderr, err)
		return ExitFailure
	}
	fmt.Fprintf(r.stdout, "request %s of account %s, decided by %s at %s\n", s.RequestID, s.Account, s.Node, s.Started.Format(time.RFC3339Nano))
	for _, step := range s.Steps {
		fmt.Fprintf(r.stdout, "%9.1f ms  %-10s %s\n", step.AtMillis, step.Name, step.Detail)
	}
	fmt.Fprintf(r.stdout, "outcome: %s\n", s.Outcome)
	return ExitOK
}

func (r *runner) addresses(args *addressesArgs) int {
	path := "/v1/addresses?" + url.Values{"data_hall": {args.DataHall}}.Encode()
	status, body, err := callNode(http.MethodGet, args.Node, path, args.Key, nil)
	if code, ok := r.checkResponse(status, body, err); !ok {
		return code
	}
	return r.printJSON(body)
}

func (r *runner) digest(args *digestArgs) int {
	key := args.Key
	if key == "-" {
		line, err := bufio.NewReader(r.stdin).ReadString('\n')
		if err != nil && line == "" {
			fmt.Fprintln(r.stderr, err)
			return ExitFailure
		}
		key = strings.TrimSpace(line)
	}
	fmt.Fprintln(r.stdout, config.Digest(key))
	return ExitOK
}
