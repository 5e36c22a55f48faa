package load

import (
	"net/http"
	"net/url"
	"strconv"
	"sync"
	"time"
)

const (
	identifierBatch = 16
	// fetchPause lets requests fail fast while an instance issues no
	// identifiers; without it they would queue behind each other's timeouts.
	fetchPause = 300 * time.Millisecond
	// identifierAge keeps identifiers of a leaving instance out of use before
	// that instance exits; it serves at least one look-up lifetime longer.
	identifierAge = time.Second
)

// identifiers keeps a few unused request identifiers per entry instance.
type identifiers struct {
	clients *clients
	service string

	mu   sync.Mutex
	held map[string]*batch
}

type batch struct {
	mu      sync.Mutex
	ids     []string
	fetched time.Time
	failed  time.Time
}

func newIdentifiers(clients *clients, service string) *identifiers {
	return &identifiers{clients: clients, service: service, held: make(map[string]*batch)}
}

// take returns an unused identifier that the instance at address issued.
func (i *identifiers) take(address string) (string, error) {
	i.mu.Lock()
	b := i.held[address]
	if b == nil {
		b = &batch{}
		i.held[address] = b
	}
	i.mu.Unlock()
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ids) == 0 || time.Since(b.fetched) > identifierAge {
		b.ids = nil
		if time.Since(b.failed) < fetchPause {
			return "", errNoIdentifiers
		}
		ids, err := i.fetch(address)
		if err != nil {
			b.failed = time.Now()
			return "", err
		}
		b.ids, b.fetched = ids, time.Now()
	}
	id := b.ids[0]
	b.ids = b.ids[1:]
	return id, nil
}

func (i *identifiers) fetch(address string) ([]string, error) {
	query := url.Values{"service": {i.service}, "count": {strconv.Itoa(identifierBatch)}}
	var answer struct {
		ExpiresMS int64    `json:"expires_ms"`
		IDs       []string `json:"ids"`
	}
	err := getJSON(i.clients.of(address), http.MethodPost, "http://"+address+"/v1/request-ids?"+query.Encode(), &answer)
	if err == nil && len(answer.IDs) == 0 {
		err = errNoIdentifiers
	}
	return answer.IDs, err
}
