package fleet

import (
	"net/netip"

	"github.com/rotisserie/eris"
)

// MaxNameBytes is the size limit of identifiers and other names in records from
// outside.
const MaxNameBytes = 128

// Check returns an error if a record from outside cannot be a member. Processes
// reach each other by IP address, and only entries and agents are members.
func (i *Instance) Check() error {
	if i.ID == "" {
		return eris.New("instance has no identifier")
	}
	for _, name := range []string{
		string(i.ID), string(i.Service), string(i.FailureDomain), string(i.Region),
	} {
		if len(name) > MaxNameBytes {
			return eris.Errorf("name in the record of an instance has %d bytes, the limit is %d", len(name), MaxNameBytes)
		}
	}
	if i.Role != RoleEntry && i.Role != RoleAgent {
		return eris.Errorf("role of instance %q is %q", i.ID, i.Role)
	}
	if err := CheckAddress(i.Address); err != nil {
		return eris.Wrapf(err, "address of instance %q", i.ID)
	}
	if i.State != StateLive && i.State != StateLeaving {
		return eris.Errorf("state of instance %q is %q", i.ID, i.State)
	}
	return nil
}

// CheckAddress returns an error if an address from outside is not an IP address with a
// port, or one that no process listens at.
func CheckAddress(address string) error {
	a, err := netip.ParseAddrPort(address)
	if err != nil {
		return eris.Errorf("address %q is not an IP address with a port", address)
	}
	ip := a.Addr().Unmap()
	if a.Port() == 0 || ip.IsUnspecified() || ip.IsMulticast() || ip == broadcast {
		return eris.Errorf("address %q is not the address of one process", address)
	}
	return nil
}

// broadcast is the IPv4 address of all hosts.
var broadcast = netip.AddrFrom4([4]byte{255, 255, 255, 255})
