package standin

import (
	"bufio"
	"net/http"
	"strconv"
	"strings"
)

// StoreRevision returns the revision of the store up to which a gateway knows everything,
// as its metrics at a URL tell; zero if they don't.
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
