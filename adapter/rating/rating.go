// Package rating is a client of the platform's rating service
// (docs/INTERFACES.md).
package rating

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
)

// maxResponseBytes bounds a response, which holds one number.
const maxResponseBytes = 64 << 10

// Client is a client of the rating service. It is safe for concurrent use.
type Client struct {
	url  string
	http *http.Client
}

// New returns a client of the service at a base URL. If it is empty, there is no
// service and Rate returns an error.
func New(url string) *Client { return &Client{url: url, http: &http.Client{}} }

// Rate returns the rating of a model's answer to a prompt, from 0 to 1.
func (c *Client) Rate(ctx context.Context, model, version, prompt, answer string) (float64, error) {
	if c.url == "" {
		return 0, fmt.Errorf("no rating service is set")
	}
	body, err := json.Marshal(map[string]string{"model": model, "version": version, "prompt": prompt, "answer": answer})
	if err != nil {
		return 0, err
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url+"/rate", bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	response, err := c.http.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	var out struct {
		Rating *float64 `json:"rating"`
	}
	if response.StatusCode != http.StatusOK {
		return 0, fmt.Errorf("rating service answered %d", response.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(response.Body, maxResponseBytes)).Decode(&out); err != nil {
		return 0, err
	}
	if out.Rating == nil || *out.Rating < 0 || *out.Rating > 1 {
		return 0, fmt.Errorf("rating service gave no rating from 0 to 1")
	}
	return *out.Rating, nil
}
