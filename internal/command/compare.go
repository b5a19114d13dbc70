package command

import (
	"fmt"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/settings"
)

// compareSettings finds where the settings of instances that name each other
// disagree. Each file alone can be good while an instance that one calls a
// voter does not know that it is.
func (c *checker) compareSettings() {
	for _, one := range c.settings {
		for _, other := range c.settings {
			if one.path != other.path {
				c.compare(one, other)
			}
		}
	}
}

// compare adds findings to the file of one for what it says of other.
func (c *checker) compare(one, other loaded) {
	if one.settings.Name == other.settings.Name {
		c.disagree(one, fmt.Sprintf("instance %q has settings in %s as well", one.settings.Name, other.path), "write another name in one of them")
		return
	}
	named, ok := findInstance(one.settings.Instances, other.settings.Name)
	if !ok {
		if _, back := findInstance(other.settings.Instances, one.settings.Name); back {
			c.disagree(one, fmt.Sprintf("instance %q of %s is not among the instances here", other.settings.Name, other.path), "add it")
		}
		return
	}
	own := settings.Instance{
		Name:          other.settings.Name,
		InnerAddress:  other.settings.Advertise.Inner,
		CallerAddress: other.settings.Advertise.Caller,
		FailureDomain: other.settings.FailureDomain,
		Voter:         other.settings.Voter,
	}
	for _, difference := range differences(named, own) {
		c.disagree(one, fmt.Sprintf("instance %q has %s here, and its own settings in %s say otherwise", named.Name, difference, other.path),
			"write the same in both")
	}
	if one.path < other.path && one.settings.Timing != other.settings.Timing {
		c.disagree(one, fmt.Sprintf("the timing differs from that in %s", other.path), "write the same [timing] for all instances")
	}
}

func (c *checker) disagree(one loaded, problem, advice string) {
	c.list.Add(finding.Place{File: one.path}, problem, advice)
}

func findInstance(instances []settings.Instance, name string) (settings.Instance, bool) {
	for _, instance := range instances {
		if instance.Name == name {
			return instance, true
		}
	}
	return settings.Instance{}, false
}

func differences(named, own settings.Instance) []string {
	var found []string
	if named.InnerAddress != own.InnerAddress {
		found = append(found, fmt.Sprintf("the inner-address %s", named.InnerAddress))
	}
	if named.CallerAddress != own.CallerAddress {
		found = append(found, fmt.Sprintf("the caller-address %s", named.CallerAddress))
	}
	if named.FailureDomain != own.FailureDomain {
		found = append(found, fmt.Sprintf("the failure-domain %s", named.FailureDomain))
	}
	if named.Voter != own.Voter {
		found = append(found, fmt.Sprintf("voter = %t", named.Voter))
	}
	return found
}
