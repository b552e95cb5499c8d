package cli

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"strings"

	"foldarch.dev/foldarch/pkg/jobstore"
	"github.com/cockroachdb/errors"
)

// queryOwner reads an operators' path that only the owner of the pool answers. It asks the host of the flag
// first; if that host names another one as the owner (status 421), queryOwner asks the owner, at the same
// port.
func (f hostFlag) queryOwner(path string) ([]byte, error) {
	status, body, err := getFromHost(f.Host, path)
	if err != nil {
		return nil, err
	}
	if status == http.StatusMisdirectedRequest {
		record, err := jobstore.DecodeOwnerRecord(body)
		if err != nil || !record.Address.IsValid() {
			return nil, errors.Newf("%s has no owner on record", f.Host)
		}
		owner := netip.AddrPortFrom(record.Address.Addr(), f.Host.Port())
		if status, body, err = getFromHost(owner, path); err != nil {
			return nil, err
		}
	}
	if status != http.StatusOK {
		return nil, errors.Newf("%s", strings.TrimSpace(string(body)))
	}
	return body, nil
}

// printResponse prints the JSON response of the owner: as indented JSON if asJSON is set, otherwise with
// printText.
func printResponse[T any](e *commandEnv, body []byte, asJSON bool, printText func(io.Writer, T)) error {
	var x T
	if err := json.Unmarshal(body, &x); err != nil {
		return errors.Wrap(err, "answer")
	}
	if asJSON {
		encoder := json.NewEncoder(e.out)
		encoder.SetIndent("", "  ")
		return encoder.Encode(x)
	}
	printText(e.out, x)
	return nil
}

// getFromHost sends a GET request to the operators' address of a host.
func getFromHost(host netip.AddrPort, path string) (status int, body []byte, err error) {
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	defer cancel()
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, fmt.Sprintf("http://%s%s", host, path), nil)
	if err != nil {
		return 0, nil, err
	}
	res, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, nil, errors.Wrapf(err, "ask %s", host)
	}
	defer func() { _ = res.Body.Close() }()
	body, err = io.ReadAll(res.Body)
	return res.StatusCode, body, err
}
