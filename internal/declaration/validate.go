package declaration

import (
	"fmt"
	"path"
	"regexp"
	"strings"
	"time"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/form"
)

// Bounds of declared numbers. They leave room above the target of the project
// and keep sums far from overflow.
const (
	maxMemory       = Bytes(4 << 40)
	maxAccelerators = 64
	maxCount        = 100_000
	maxCopies       = 10_000
	maxPriority     = 9
	maxReserve      = 90
	maxWeight       = 1000
)

var (
	// servicePattern keeps names of services to what stands in a URL's path as
	// it is.
	servicePattern = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._-]{0,99}$`)
	// modelPattern allows the slashes and colons that models' names have.
	modelPattern  = regexp.MustCompile(`^[A-Za-z0-9][A-Za-z0-9._:/-]{0,199}$`)
	methodPattern = regexp.MustCompile(`^([A-Z]{1,20}|\*)$`)
)

// validator checks one content. All findings go to list.
type validator struct {
	content content
	origin  origin
	list    *finding.List

	domains  names
	classes  names
	services names
	// targets are the models and adapters, which callers name alike.
	targets names
	presets names
	// uses holds the models of each service by its name.
	uses map[string][]string
}

// validate adds a finding for everything that is wrong with c or does not fit
// together.
func validate(c content, o origin, list *finding.List) {
	v := &validator{
		content: c, origin: o, list: list,
		domains: newNames(), classes: newNames(), services: newNames(), targets: newNames(), presets: newNames(),
		uses: map[string][]string{},
	}
	v.collectNames()
	for i, class := range c.AcceleratorClasses {
		v.acceleratorClass(item("accelerator-classes", i), class)
	}
	for i, service := range c.Services {
		v.service(item("services", i), service)
	}
	for i, model := range c.Models {
		v.model(item("models", i), model)
	}
	for i, adapter := range c.Adapters {
		v.adapter(item("adapters", i), adapter)
	}
	v.allPresets()
	if list.Len() == 0 {
		v.capacity()
	}
}

// add adds a finding at path, unless the value there already made one.
func (v *validator) add(path, problem, advice string) {
	if v.origin.failed[path] {
		return
	}
	v.list.Add(v.origin.at(path), problem, advice)
}

// missing adds a finding for the key of path that is not there.
func (v *validator) missing(path, key, example string) {
	v.add(path+"."+key, fmt.Sprintf("key %q is missing", key), fmt.Sprintf("write %s = %s", key, example))
}

// between adds a finding if the number at path and key is out of bounds.
func (v *validator) between(path, key string, number, least, most int) {
	if number < least || number > most {
		v.add(path+"."+key, fmt.Sprintf("%q must be from %d to %d, not %d", key, least, most, number),
			fmt.Sprintf("write for example %s = %d", key, least))
	}
}

// memory adds a finding if the size at path and key is out of bounds.
func (v *validator) memory(path, key string, size, least Bytes) {
	if size == 0 && least > 0 {
		v.missing(path, key, `"18 GiB"`)
		return
	}
	if size < least || size > maxMemory {
		v.add(path+"."+key, fmt.Sprintf("%q must be from %d B to %s, not %d B", key, least, maxMemory, size),
			"write for example "+key+` = "18 GiB"`)
	}
}

func (v *validator) collectNames() {
	c := v.content
	for i, d := range c.FailureDomains {
		v.declare(v.domains, item("failure-domains", i), "failure domain", d.Name, servicePattern)
	}
	for i, a := range c.AcceleratorClasses {
		v.declare(v.classes, item("accelerator-classes", i), "accelerator class", a.Name, servicePattern)
	}
	for i, s := range c.Services {
		v.declare(v.services, item("services", i), "service", s.Name, servicePattern)
		v.uses[s.Name] = append(v.uses[s.Name], s.Models...)
	}
	for i, m := range c.Models {
		v.declare(v.targets, item("models", i), "model", m.Name, modelPattern)
	}
	for i, a := range c.Adapters {
		v.declare(v.targets, item("adapters", i), "adapter", a.Name, modelPattern)
	}
	for i, p := range c.Presets {
		v.declare(v.presets, item("presets", i), "preset", p.Name, servicePattern)
	}
}

// declare adds name to all, or a finding if it is no name or taken.
func (v *validator) declare(all names, path, kind, name string, pattern *regexp.Regexp) {
	if name == "" {
		v.missing(path, "name", `"..."`)
		return
	}
	where := path + ".name"
	if !pattern.MatchString(name) {
		v.add(where, fmt.Sprintf("%s cannot be called %q", kind, name),
			"begin with a letter or digit, then write letters, digits, dots, dashes and underscores")
		return
	}
	if first, taken := all.first[name]; taken {
		v.add(where, fmt.Sprintf("%s %q is already the name of the %s at %s", kind, name, first.kind, first.place),
			"remove one or write another name")
		return
	}
	all.first[name] = declared{kind: kind, place: v.origin.at(where)}
}

// refer adds a finding if no declaration of kind in all is called name.
func (v *validator) refer(all names, where, kind, name string) bool {
	found, ok := all.first[name]
	if ok && found.kind == kind {
		return true
	}
	known := all.ofKind(kind)
	advice := fmt.Sprintf("declare it, or write one of the %d %ss that are declared", len(known), kind)
	if nearest, ok := form.Nearest(name, known); ok {
		advice = fmt.Sprintf("write %q", nearest)
	}
	problem := fmt.Sprintf("%s %q is not declared", kind, name)
	if ok {
		problem = fmt.Sprintf("%q is not a %s but the %s at %s", name, kind, found.kind, found.place)
	}
	v.add(where, problem, advice)
	return false
}

func (v *validator) acceleratorClass(path string, a AcceleratorClass) {
	v.memory(path, "memory", a.Memory, 1)
	v.between(path, "count", a.Count, 1, maxCount)
}

func (v *validator) service(path string, s Service) {
	v.goal(path+".goal", s.Goal)
	for i, model := range s.Models {
		v.refer(v.targets, item(path+".models", i), "model", model)
	}
	v.unique(path+".models", s.Models)
	switch s.Kind {
	case ModelBacked:
		v.modelBacked(path, s)
	case Plain:
		v.plain(path, s)
	case "":
		v.missing(path, "kind", `"model-backed" or "plain"`)
	default:
		v.add(path+".kind", fmt.Sprintf("%q cannot be %q", "kind", s.Kind), `write "model-backed" or "plain"`)
	}
}

func (v *validator) modelBacked(path string, s Service) {
	if len(s.Models) == 0 {
		v.missing(path, "models", `["..."]`)
	}
	if len(s.NonRepeatable) > 0 {
		v.add(path+".non-repeatable", "a model-backed service has no calls to list",
			"write non-idempotent = true if its completions have effects")
	}
	if len(s.Repeatable) > 0 {
		v.add(path+".repeatable", "a model-backed service has no calls to list", "leave it out")
	}
}

func (v *validator) plain(path string, s Service) {
	if len(s.Models) > 0 {
		v.add(path+".models", "a plain service uses no models", `leave it out, or write kind = "model-backed"`)
	}
	if s.NonIdempotent {
		v.add(path+".non-idempotent", "a plain service names its calls",
			`write for example non-repeatable = ["POST /bookings"]`)
	}
	for i, call := range s.NonRepeatable {
		v.call(item(path+".non-repeatable", i), call)
	}
	for i, call := range s.Repeatable {
		v.call(item(path+".repeatable", i), call)
	}
	v.unique(path+".non-repeatable", callTexts(s.NonRepeatable))
	v.unique(path+".repeatable", callTexts(s.Repeatable))
	denied := map[string]bool{}
	for _, call := range s.NonRepeatable {
		denied[call.String()] = true
	}
	for i, call := range s.Repeatable {
		if denied[call.String()] {
			v.add(item(path+".repeatable", i), fmt.Sprintf("%q is in non-repeatable as well", call), "leave one out")
		}
	}
}

func callTexts(calls []Call) []string {
	texts := make([]string, 0, len(calls))
	for _, call := range calls {
		texts = append(texts, call.String())
	}
	return texts
}

func (v *validator) call(where string, c Call) {
	const example = `write for example "POST /bookings/*"`
	_, err := path.Match(c.Path, "/")
	inner, _ := strings.CutSuffix(c.Path, "/**")
	switch {
	case !methodPattern.MatchString(c.Method) || !strings.HasPrefix(c.Path, "/"):
		v.add(where, fmt.Sprintf("%q is no method and path", c), example)
	case err != nil:
		v.add(where, fmt.Sprintf("%q is no pattern of a path", c.Path), example)
	case strings.Contains(inner, "**"):
		v.add(where, fmt.Sprintf("** may only be the last segment of %q", c.Path), `write for example "POST /bookings/**"`)
	case inner != "" && path.Clean(inner) != inner:
		v.add(where, fmt.Sprintf("%q never matches a call", c.Path), fmt.Sprintf("write %q", path.Clean(inner)))
	default:
	}
}

func (v *validator) goal(path string, g Goal) {
	v.duration(path, "first-token", g.FirstToken)
	v.duration(path, "between-tokens", g.BetweenTokens)
	v.duration(path, "deadline", g.Deadline)
	v.between(path, "priority", g.Priority, 0, maxPriority)
	if g.Deadline > 0 && g.Deadline <= g.FirstToken {
		v.add(path+".deadline", fmt.Sprintf("the deadline %s is not after the first token's goal %s", g.Deadline, g.FirstToken),
			"write a longer deadline")
	}
}

func (v *validator) duration(path, key string, d time.Duration) {
	if d < 0 || d > maxTime {
		v.add(path+"."+key, fmt.Sprintf("%q must be from 0s to %s, not %s", key, maxTime, d), "write for example \"540ms\"")
	}
}

func (v *validator) model(path string, m Model) {
	v.memory(path, "kv-space", m.KVSpace, 0)
	if len(m.Layouts) == 0 {
		v.missing(path, "layouts", `[{ accelerators = 1, memory = "18 GiB" }]`)
	}
	counts := make([]string, 0, len(m.Layouts))
	for i, layout := range m.Layouts {
		where := item(path+".layouts", i)
		v.between(where, "accelerators", layout.Accelerators, 1, maxAccelerators)
		v.memory(where, "memory", layout.Memory, 1)
		counts = append(counts, fmt.Sprintf("%d accelerators", layout.Accelerators))
	}
	v.unique(path+".layouts", counts)
	v.versions(path, m)
}

func (v *validator) versions(path string, m Model) {
	if len(m.Versions) == 0 {
		v.missing(path, "versions", `[{ name = "1", weights = "..." }]`)
		return
	}
	known := make([]string, 0, len(m.Versions))
	runs := false
	for i, version := range m.Versions {
		where := item(path+".versions", i)
		known = append(known, version.Name)
		if version.Name == "" {
			v.missing(where, "name", `"1"`)
			continue
		}
		if version.Weights == "" {
			v.missing(where, "weights", `"..."`)
		}
		runs = runs || version.Name == m.Version
	}
	v.unique(path+".versions", known)
	switch {
	case m.Version == "":
		v.missing(path, "version", fmt.Sprintf("%q", m.Versions[0].Name))
	case !runs:
		advice := "write one of " + strings.Join(known, ", ")
		if nearest, ok := form.Nearest(m.Version, known); ok {
			advice = fmt.Sprintf("write %q", nearest)
		}
		v.add(path+".version", fmt.Sprintf("version %q is not among the versions", m.Version), advice)
	default:
	}
}

func (v *validator) adapter(path string, a Adapter) {
	v.memory(path, "memory", a.Memory, 1)
	if a.Weights == "" {
		v.missing(path, "weights", `"..."`)
	}
	known := false
	if a.Model == "" {
		v.missing(path, "model", `"..."`)
	} else {
		known = v.refer(v.targets, path+".model", "model", a.Model)
	}
	v.unique(path+".services", a.Services)
	for i, service := range a.Services {
		where := item(path+".services", i)
		if v.refer(v.services, where, "service", service) && known && v.cannotUse(service, a.Model) {
			v.add(where, fmt.Sprintf("service %q does not use model %q, which the adapter is loaded beside", service, a.Model),
				fmt.Sprintf("write %q among the models of that service, or leave the service out", a.Model))
		}
	}
}

// cannotUse tells whether the service called name does not use model. If it
// uses one that is not declared, that finding comes first: the model may be the
// misspelt one, and its adapters are no mistakes of their own.
func (v *validator) cannotUse(name, model string) bool {
	for _, used := range v.uses[name] {
		if used == model || v.targets.first[used].kind != "model" {
			return false
		}
	}
	return true
}

// unique adds a finding for each text of the list at path that stands in it
// twice. Empty texts have findings of their own.
func (v *validator) unique(path string, texts []string) {
	seen := map[string]int{}
	for i, text := range texts {
		first, twice := seen[text]
		if !twice || text == "" {
			seen[text] = i
			continue
		}
		v.add(item(path, i), fmt.Sprintf("%q stands twice, first at %s", text, v.origin.at(item(path, first))), "leave one out")
	}
}
