package command

import (
	"fmt"

	"github.com/lovagelift/lovagelift/internal/finding"
	"github.com/lovagelift/lovagelift/internal/settings"
)

// compareSettings finds contradictions between settings files. Each file can be
// valid on its own while, for example, one file lists an instance as a voter and
// that instance's own settings do not.
func (c *checker) compareSettings() {
	for _, one := range c.settings {
		for _, other := range c.settings {
			if one.path != other.path {
				c.compare(one, other)
			}
		}
	}
}

// compare reports where the settings of one contradict those of other, as findings
// about the file of one.
func (c *checker) compare(one, other loadedSettings) {
	if one.settings.Name == other.settings.Name {
		c.addContradiction(one, fmt.Sprintf("instance %q has settings in %s as well", one.settings.Name, other.path), "write another name in one of them")
		return
	}
	declared, ok := findInstance(one.settings.Instances, other.settings.Name)
	if !ok {
		if _, listed := findInstance(other.settings.Instances, one.settings.Name); listed {
			c.addContradiction(one, fmt.Sprintf("instance %q of %s is not among the instances here", other.settings.Name, other.path), "add it")
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
	for _, difference := range differences(declared, own) {
		c.addContradiction(one, fmt.Sprintf("instance %q has %s here, and its own settings in %s say otherwise", declared.Name, difference, other.path),
			"write the same in both")
	}
	if one.path < other.path && one.settings.Timing != other.settings.Timing {
		c.addContradiction(one, fmt.Sprintf("the timing differs from that in %s", other.path), "write the same [timing] for all instances")
	}
}

func (c *checker) addContradiction(file loadedSettings, problem, advice string) {
	c.findings.Add(finding.Place{File: file.path}, problem, advice)
}

func findInstance(instances []settings.Instance, name string) (settings.Instance, bool) {
	for _, instance := range instances {
		if instance.Name == name {
			return instance, true
		}
	}
	return settings.Instance{}, false
}

func differences(declared, own settings.Instance) []string {
	var differing []string
	if declared.InnerAddress != own.InnerAddress {
		differing = append(differing, fmt.Sprintf("the inner-address %s", declared.InnerAddress))
	}
	if declared.CallerAddress != own.CallerAddress {
		differing = append(differing, fmt.Sprintf("the caller-address %s", declared.CallerAddress))
	}
	if declared.FailureDomain != own.FailureDomain {
		differing = append(differing, fmt.Sprintf("the failure-domain %s", declared.FailureDomain))
	}
	if declared.Voter != own.Voter {
		differing = append(differing, fmt.Sprintf("voter = %t", declared.Voter))
	}
	return differing
}
