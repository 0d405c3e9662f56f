// Package confservice holds clients of what the platform gives: the configuration
// service and the instance list. Both can only be read.
package confservice

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// indexHeader carries the index of a value, as key-value services with long
// polls commonly name it.
const indexHeader = "X-Consul-Index"

// maxListBytes bounds an instance list read from outside.
const maxListBytes = 16 << 20

// ConfigService reads and watches one key.
type ConfigService struct {
	base string
	key  string
	http *http.Client
}

// NewConfigService returns a client of the service at a base URL for one key.
func NewConfigService(base, key string, client *http.Client) *ConfigService {
	return &ConfigService{base: strings.TrimSuffix(base, "/"), key: key, http: client}
}

// Value is a published value with its index.
type Value struct {
	Bytes []byte
	Index uint64
}

// Read returns the value. With an index it waits until the value's index is
// greater, for at most wait; then it returns the value as it is.
func (s *ConfigService) Read(ctx context.Context, index uint64, wait time.Duration) (Value, error) {
	url := fmt.Sprintf("%s/v1/kv/%s?raw", s.base, s.key)
	if index > 0 {
		url += fmt.Sprintf("&index=%d&wait=%dms", index, wait.Milliseconds())
	}
	body, header, err := get(ctx, s.http, url, config.MaxDocumentBytes, "")
	if err != nil {
		return Value{}, eris.Wrap(err, "configuration service")
	}
	i, err := strconv.ParseUint(header.Get(indexHeader), 10, 64)
	if err != nil {
		return Value{}, eris.Wrap(err, "configuration service sent no index")
	}
	return Value{Bytes: body, Index: i}, nil
}

// InstanceList is the platform's lagging view of the fleet.
type InstanceList struct {
	Revision  uint64           `json:"revision"`
	Instances []fleet.Instance `json:"instances"`
	// Invalid says why records were left out of Instances.
	Invalid []error `json:"-"`
}

// ParseInstances reads an instance list. Records that cannot be members are
// left out, since members would pass them on to each other.
func ParseInstances(data []byte) (InstanceList, error) {
	var list InstanceList
	if err := json.Unmarshal(data, &list); err != nil {
		return InstanceList{}, eris.Wrap(err, "instance list is not valid JSON")
	}
	valid := make([]fleet.Instance, 0, len(list.Instances))
	for _, i := range list.Instances {
		if err := i.Check(); err != nil {
			list.Invalid = append(list.Invalid, err)
			continue
		}
		valid = append(valid, i)
	}
	list.Instances = valid
	return list, nil
}

// InstanceService reads the instance list.
type InstanceService struct {
	url  string
	http *http.Client
	etag string
	last InstanceList
}

// NewInstanceService returns a client of the instance list at a base URL. It
// is owned by one duty.
func NewInstanceService(base string, client *http.Client) *InstanceService {
	return &InstanceService{url: strings.TrimSuffix(base, "/") + "/v1/instances", http: client}
}

// Read returns the instance list and the number of bytes that were read for
// it. A service that gives entity tags need not send an unchanged list again.
func (s *InstanceService) Read(ctx context.Context) (InstanceList, int, error) {
	body, header, err := get(ctx, s.http, s.url, maxListBytes, s.etag)
	if eris.Is(err, errNotModified) {
		return s.last, 0, nil
	}
	if err != nil {
		return InstanceList{}, 0, eris.Wrap(err, "instance list")
	}
	list, err := ParseInstances(body)
	if err != nil {
		return list, len(body), err
	}
	s.last, s.etag = list, header.Get("ETag")
	return list, len(body), nil
}

// errNotModified is the answer to a conditional read of an unchanged value.
var errNotModified = eris.New("not modified")

func get(ctx context.Context, client *http.Client, url string, limit int64, etag string) ([]byte, http.Header, error) {
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, url, http.NoBody)
	if err != nil {
		return nil, nil, err
	}
	if etag != "" {
		req.Header.Set("If-None-Match", etag)
	}
	resp, err := client.Do(req)
	if err != nil {
		return nil, nil, err
	}
	defer func() { _ = resp.Body.Close() }()
	if resp.StatusCode == http.StatusNotModified {
		return nil, nil, errNotModified
	}
	if resp.StatusCode != http.StatusOK {
		return nil, nil, eris.Errorf("unexpected status %d", resp.StatusCode)
	}
	body, err := io.ReadAll(io.LimitReader(resp.Body, limit+1))
	if err != nil {
		return nil, nil, err
	}
	if int64(len(body)) > limit {
		return nil, nil, eris.Errorf("answer is larger than %d bytes", limit)
	}
	return body, resp.Header, nil
}

// ReadInstances returns the instance list at a base URL.
func ReadInstances(ctx context.Context, client *http.Client, base string) (InstanceList, error) {
	list, _, err := NewInstanceService(base, client).Read(ctx)
	return list, err
}
