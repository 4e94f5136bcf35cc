package platformhttp

import (
	"context"
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"net/url"
	"slices"
	"strconv"

	"github.com/tidwall/gjson"

	"tanagerwood.dev/api/jsonbody"
	"tanagerwood.dev/api/membudget"
	"tanagerwood.dev/api/platform"
)

const (
	// maxListBytes limits a list, of which only what is of use is held.
	maxListBytes = 1 << 30
	// maxInstanceBytes limits an entry in the list of instances. A longer one was not written by the platform.
	maxInstanceBytes = 16 << 10
)

// List implements port.Platform.
func (c *Client) List(ctx context.Context, kind platform.Kind, yield func(platform.Object)) error {
	r := request{method: http.MethodGet, path: "/api/v1/" + url.PathEscape(string(kind))}
	r.readList = func(body io.Reader, held *membudget.Holding) error {
		return readList(body, held, "objects", maxObjectBytes, func(entry []byte) {
			var o platform.Object
			if json.Unmarshal(entry, &o) == nil {
				yield(o)
			}
		})
	}
	_, err := c.call(ctx, r, nil)
	return err
}

// Instances implements port.Platform. Each entry is decoded by itself, and one that does not describe an instance is skipped, so that an odd
// entry of another writer does not hide the others.
func (c *Client) Instances(ctx context.Context) ([]platform.Instance, error) {
	var instances []platform.Instance
	r := request{method: http.MethodGet, path: "/api/v1/instances"}
	known := c.cachedInstances.Load()
	if known != nil {
		r.ifNoneMatch = known.etag
	}
	r.readList = func(body io.Reader, held *membudget.Holding) error {
		return readList(body, held, "instances", maxInstanceBytes, func(entry []byte) {
			if in, ok := decodeInstance(entry); ok {
				instances = append(instances, in)
			}
		})
	}
	status, tag, err := c.callWithETag(ctx, r, nil)
	if err != nil {
		return nil, err
	}
	if status == http.StatusNotModified && known != nil {
		return slices.Clone(known.instances), nil
	}
	if tag != "" {
		c.cachedInstances.Store(&instanceList{etag: tag, instances: slices.Clone(instances)})
	}
	return instances, nil
}

// readList passes the entries of a list in a response to yield, but for those that are longer than maxEntryBytes.
func readList(body io.Reader, held *membudget.Holding, list string, maxEntryBytes int64, yield func(entry []byte)) error {
	limits := jsonbody.ListLimits{ElementBytes: maxEntryBytes, BodyBytes: maxListBytes, Memory: held}
	envelope, err := jsonbody.ReadList(body, list, limits, func(e jsonbody.Element) error {
		if !e.Truncated {
			yield(e.Raw)
		}
		return nil
	})
	if err == nil && !gjson.GetBytes(envelope, list).IsArray() {
		err = errors.New("the response has no list of " + list)
	}
	return err
}

// decodeInstance decodes an entry of the list of instances. It returns false if it does not describe one.
func decodeInstance(entry []byte) (in platform.Instance, ok bool) {
	if json.Unmarshal(entry, &in) != nil || in.Name == "" {
		return in, false
	}
	address, err := url.Parse(in.URL)
	return in, err == nil && validPort(address.Port())
}

// validPort reports whether the port of a URL, which may be empty, is in range.
func validPort(port string) bool {
	_, err := strconv.ParseUint(port, 10, 16)
	return port == "" || err == nil
}
