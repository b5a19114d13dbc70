package declaration

import (
	"encoding/hex"
	"fmt"
	"strings"

	"github.com/lovagelift/lovagelift/internal/form"
)

// QuotaUnit is what the quota of a workspace counts.
type QuotaUnit string

// The units of a quota.
const (
	QuotaRequests QuotaUnit = "requests"
	QuotaTokens   QuotaUnit = "tokens"
)

// Quota limits the requests of a workspace at all instances together. A rate of 0 means no limit.
type Quota struct {
	Unit      QuotaUnit `json:"unit"`
	PerSecond float64   `json:"per-second"`
	Burst     float64   `json:"burst"`
	// DefaultTokens is the cost of a request of which no tokens are known, if Unit is
	// QuotaTokens.
	DefaultTokens float64 `json:"default-tokens"`
}

// Workspace is a group of callers. If any workspace is declared, callers of completions and
// services need the key of one.
type Workspace struct {
	Name string `json:"name"`
	// Keys are the SHA-256 hashes of the API keys in lowercase hexadecimal. No two workspaces
	// have the same.
	Keys []string `json:"keys"`
	// Services are the services that the workspace may use, all if it is empty.
	Services []string `json:"services"`
	Quota    Quota    `json:"quota"`
}

// maxQuota is above every quota.
const maxQuota = 1e12

// keyDigits is the length of a key's hash in hexadecimal.
const keyDigits = 64

func (r *folderReader) readWorkspace(table *form.Reader, path string) Workspace {
	w := Workspace{
		Name:     table.Text("name", ""),
		Keys:     r.readStrings(table, path, "keys"),
		Services: r.readStrings(table, path, "services"),
		Quota:    r.readQuota(table.Table("quota"), path+".quota"),
	}
	r.finishTable(table, path, "name", "keys", "services", "quota")
	return w
}

func (r *folderReader) readQuota(table *form.Reader, path string) Quota {
	q := Quota{
		Unit:          QuotaUnit(table.Enum("unit", string(QuotaRequests), string(QuotaRequests), string(QuotaTokens))),
		PerSecond:     table.Float("per-second", 0, 0, maxQuota),
		Burst:         table.Float("burst", 0, 0, maxQuota),
		DefaultTokens: table.Float("default-tokens", 0, 0, maxQuota),
	}
	r.finishTable(table, path, "unit", "per-second", "burst", "default-tokens")
	return q
}

// checkWorkspaces checks all workspaces. Findings do not contain the hashes of keys.
func (v *validator) checkWorkspaces() {
	firstPath := map[string]string{}
	for i, w := range v.content.Workspaces {
		path := elementPath("workspaces", i)
		for k, key := range w.Keys {
			keyPath := elementPath(path+".keys", k)
			if _, err := hex.DecodeString(key); err != nil || len(key) != keyDigits || key != strings.ToLower(key) {
				v.addFinding(keyPath, "a key must be given by its SHA-256 hash, 64 lowercase hexadecimal digits",
					"write the line that lovagelift key prints")
				continue
			}
			if first, taken := firstPath[key]; taken {
				v.addFinding(keyPath, fmt.Sprintf("the key is listed already, at %s", v.sources.placeOf(first)), "leave one out")
				continue
			}
			firstPath[key] = keyPath
		}
		for s, service := range w.Services {
			v.checkReference(v.services, elementPath(path+".services", s), "service", service)
		}
		v.checkUnique(path+".services", w.Services)
		v.checkQuota(path+".quota", w.Quota)
	}
}

func (v *validator) checkQuota(path string, quota Quota) {
	if quota.Unit != QuotaRequests && quota.Unit != QuotaTokens {
		v.addFinding(path+".unit", fmt.Sprintf("%q cannot be %q", "unit", quota.Unit), `write "requests" or "tokens"`)
	}
	numbers := []struct {
		key   string
		value float64
	}{{"per-second", quota.PerSecond}, {"burst", quota.Burst}, {"default-tokens", quota.DefaultTokens}}
	for _, number := range numbers {
		if number.value < 0 || number.value > maxQuota {
			v.addFinding(path+"."+number.key, fmt.Sprintf("%q must be from 0 to %g, not %g", number.key, maxQuota, number.value),
				"write 0 for no limit")
		}
	}
	if quota.PerSecond > 0 && quota.Burst < 1 {
		v.addFinding(path+".burst", `"burst" must be at least 1, or no request is ever within the quota`,
			fmt.Sprintf("write for example burst = %g", max(quota.PerSecond, 1)))
	}
}

// Title returns the kind and the name.
func (w Workspace) Title() string { return "workspace " + w.Name }

func (w Workspace) fields() []field {
	return []field{
		{"keys", strings.Join(w.Keys, ", ")},
		{"services", strings.Join(w.Services, ", ")},
		{"quota", fmt.Sprintf("%g %s a second, burst %g, default tokens %g", w.Quota.PerSecond, w.Quota.Unit, w.Quota.Burst, w.Quota.DefaultTokens)},
	}
}
