// Package confservice provides read-only clients of the platform's configuration
// service and instance list.
package confservice

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
)

// indexHeader is the response header with the index of a value. The name is
// common among key-value services with long polling.
const indexHeader = "X-Consul-Index"

// maxListBytes is the size limit of an instance list.
const maxListBytes = 16 << 20

// ConfigService reads and watches one key of the configuration service.
type ConfigService struct {
	base string
	key  string
	http *http.Client
}

// NewConfigService returns a client for one key of the service at a base URL.
func NewConfigService(base, key string, client *http.Client) *ConfigService {
	return &ConfigService{base: strings.TrimSuffix(base, "/"), key: key, http: client}
}

// Value is a published value with its index.
type Value struct {
	Bytes []byte
	Index uint64
}

// Read returns the value. If index is not 0, it waits until the value's index is
// greater than index or wait has passed.
func (s *ConfigService) Read(ctx context.Context, index uint64, wait time.Duration) (Value, error) {
	url := fmt.Sprintf("%s/v1/kv/%s?raw", s.base, s.key)
	if index > 0 {
		url += fmt.Sprintf("&index=%d&wait=%dms", index, wait.Milliseconds())
	}
	body, header, err := get(ctx, s.http, url, config.MaxDocumentBytes, "")
	if err != nil {
		return Value{}, eris.Wrap(err, "read configuration service")
	}
	i, err := strconv.ParseUint(header.Get(indexHeader), 10, 64)
	if err != nil {
		return Value{}, eris.Wrap(err, "configuration service sent no valid index")
	}
	return Value{Bytes: body, Index: i}, nil
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

// Read returns the instance list and the number of body bytes that were read. If
// the service sends entity tags, an unchanged list is not transferred again.
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

// errNotModified is returned for a conditional read of an unchanged value.
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
	if resp.StatusCode == http.StatusNotModified && etag != "" {
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

// ReadInstances reads the instance list at a base URL once.
func ReadInstances(ctx context.Context, client *http.Client, base string) (InstanceList, error) {
	list, _, err := NewInstanceService(base, client).Read(ctx)
	return list, err
}
