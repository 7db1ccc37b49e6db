package standin

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// StoreRevision returns the store revision that a gateway has caught up with, from
// its metrics page at url. It returns zero if the page or the metric is missing.
func StoreRevision(url string) int64 {
	response, err := http.Get(url)
	if err != nil {
		return 0
	}
	defer response.Body.Close()
	lines := bufio.NewScanner(response.Body)
	for lines.Scan() {
		name, value, _ := strings.Cut(lines.Text(), " ")
		if !strings.HasPrefix(name, "violettally_store_revision") {
			continue
		}
		if revision, err := strconv.ParseFloat(value, 64); err == nil {
			return int64(revision)
		}
	}
	return 0
}
