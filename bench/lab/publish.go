package lab

import (
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"

	"github.com/rotisserie/eris"

	"rattanspur.example/lib/config"
	"rattanspur.example/lib/fleet"
)

// initialDocument returns the configuration before the first publication. It
// has a customer and the failure domains, but no profiles and no services.
func (l *Lab) initialDocument() config.Document {
	sum := sha256.Sum256([]byte(CustomerKey))
	d := config.Document{
		Customers: []config.Customer{{Name: "counter", KeySHA256: hex.EncodeToString(sum[:])}},
	}
	for _, r := range l.Options.Regions {
		d.FailureDomains = append(d.FailureDomains, config.FailureDomain{
			Name: fleet.FailureDomain(r), Region: fleet.Region(r), State: config.DomainIn,
		})
	}
	return d
}

// Publish applies a change to the configuration and publishes it as the next
// generation. It returns an error if the configuration is invalid.
func (l *Lab) Publish(change func(d *config.Document)) error {
	change(&l.doc)
	l.doc.Generation++
	data, err := json.Marshal(l.doc)
	if err != nil {
		return eris.Wrap(err, "configuration")
	}
	if _, err := config.Accept(data); err != nil {
		return err
	}
	l.Config.Put(ConfigKey, data)
	return nil
}

// PublishProfile adds a profile and makes it the profile of the model service,
// which is added if the configuration has no service yet.
func (l *Lab) PublishProfile(name fleet.ProfileName, version fleet.Version, w config.Weights) error {
	return l.Publish(func(d *config.Document) {
		d.Profiles = append(d.Profiles, config.Profile{Name: name, Model: "advisor", Version: version, Weights: w})
		if len(d.Services) == 0 {
			d.Services = []config.Service{{Name: Service, Kind: config.KindModel, LoadsAlongside: true, Limits: l.Options.Limits}}
		}
		d.Services[0].Profile = name
	})
}

// PublishDomain takes a failure domain out of service or back in.
func (l *Lab) PublishDomain(name fleet.FailureDomain, state config.DomainState) error {
	return l.Publish(func(d *config.Document) {
		for i := range d.FailureDomains {
			if d.FailureDomains[i].Name == name {
				d.FailureDomains[i].State = state
			}
		}
	})
}
