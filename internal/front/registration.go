package front

import (
	"math/rand/v2"
	"strings"
	"time"

	"github.com/pkg/errors"

	"github.com/azurehatch/azurehatch/internal/pause"
	"github.com/azurehatch/azurehatch/internal/platform"
)

// registryPrefix is the prefix of the keys under which daemons register.
const registryPrefix = "azurehatch/daemons/"

// Delays of registrations.
const (
	// registerRetryDelay is the delay after a failed registration.
	registerRetryDelay = time.Second
	// After the store was restored, a fleet checks its registrations at a mean interval of
	// checkRegistrationInterval, in random order. A check that fails is repeated after
	// minCheckBackoff, doubling to maxCheckBackoff.
	checkRegistrationInterval = 25 * time.Millisecond
	minCheckBackoff           = time.Second
	maxCheckBackoff           = 16 * time.Second
	// Daemons that were cut off from each other for long have forgotten each other. So one daemon of a
	// fleet, and of each part of one that is cut, reads the registrations again each sharedFindInterval on
	// average, and each daemon at intervals of at least minFindInterval on average.
	sharedFindInterval = 30 * time.Second
	minFindInterval    = 2 * time.Minute
)

// findInterval returns the mean interval at which each of a number of daemons reads the registrations
// again.
func findInterval(daemons int) time.Duration {
	return max(time.Duration(daemons)*sharedFindInterval, minFindInterval)
}

// registration is the registered value of a daemon: the address of its mesh listener and
// its failure domain. Daemons know from it at once who does what in their domain.
func registration(addr, domain string) []byte { return []byte(addr + " " + domain) }

// decodeRegistration decodes a registered value. The domain is empty if it is missing.
func decodeRegistration(value []byte) (addr, domain string) {
	addr, domain, _ = strings.Cut(string(value), " ")
	return addr, domain
}

// register writes the daemon's registration to the store and reads those of the
// other daemons. Each daemon writes before it reads, so that of two that start at
// the same time at least one finds the other.
func (d *Daemon) register() {
	for d.ctx.Err() == nil {
		err := d.registerOnce()
		if err == nil {
			close(d.joined)
			return
		}
		d.log.Warn().Err(err).Msg("daemon not registered yet")
		pause.Sleep(d.ctx, registerRetryDelay)
	}
}

// signalRestored makes the daemon check its registration.
func (d *Daemon) signalRestored() {
	select {
	case d.restored <- struct{}{}:
	default:
	}
}

// stayRegistered registers the daemon, again if a restored store has lost the registration, and looks
// for registered daemons that it does not know.
func (d *Daemon) stayRegistered() {
	d.register()
	for {
		select {
		case <-d.ctx.Done():
			return
		case <-time.After(jitter(d.opts.findInterval(d.mesh.Count()))):
			if err := d.findRegistered(); err != nil {
				d.log.Warn().Err(err).Msg("registered daemons not looked for")
			}
			continue
		case <-d.restored:
		}
		pause.Sleep(d.ctx, time.Duration(rand.Float64()*float64(d.mesh.Count())*float64(checkRegistrationInterval)))
		d.crashIsolator.checkRecord()
		for backoff := minCheckBackoff; d.ctx.Err() == nil; backoff = min(2*backoff, maxCheckBackoff) {
			err := d.checkRegistration()
			if err == nil {
				break
			}
			d.log.Warn().Err(err).Msg("registration not checked yet")
			pause.Sleep(d.ctx, jitter(backoff))
		}
	}
}

// findRegistered reads the registrations again, joins registered daemons that it does not know, and
// registers this one again if its registration is gone.
func (d *Daemon) findRegistered() error {
	items, _, err := d.store.Range(d.ctx, registryPrefix)
	if err != nil {
		return errors.Wrap(err, "read registrations of daemons")
	}
	addrs, registered := make([]string, 0, len(items)), false
	for _, i := range items {
		addr, _ := decodeRegistration(i.Value)
		addrs = append(addrs, addr)
		registered = registered || addr == d.mesh.Addr
	}
	d.mesh.Find(addrs)
	if registered {
		return nil
	}
	return d.checkRegistration()
}

// checkRegistration writes the daemon's registration if the store does not have it.
func (d *Daemon) checkRegistration() error {
	write := d.registrationWrite()
	current, err := d.store.Get(d.ctx, write.Key)
	if err != nil && !errors.Is(err, platform.ErrNotFound) {
		return errors.Wrap(err, "read registration")
	}
	if string(current.Value) == string(write.Value) {
		return nil
	}
	write.Expected = current.Revision
	if _, err := d.store.CompareAndSwap(d.ctx, write); err != nil {
		return errors.Wrap(err, "write registration")
	}
	d.log.Info().Msg("daemon registered again")
	return nil
}

func (d *Daemon) registrationWrite() platform.Write {
	return platform.Write{
		Key:   registryPrefix + d.frontSettings.Instance.Name,
		Value: registration(d.meshListener.Addr().String(), d.frontSettings.Instance.FailureDomain),
	}
}

func (d *Daemon) registerOnce() error {
	write := d.registrationWrite()
	_, err := d.store.CompareAndSwap(d.ctx, write)
	if conflict, ok := platform.AsConflict(err); ok && string(conflict.Actual.Value) != string(write.Value) {
		write.Expected = conflict.Actual.Revision
		_, err = d.store.CompareAndSwap(d.ctx, write)
	} else if ok {
		err = nil
	}
	if err != nil {
		return errors.Wrap(err, "write registration")
	}
	items, _, err := d.store.Range(d.ctx, registryPrefix)
	if err != nil {
		return errors.Wrap(err, "read registrations of daemons")
	}
	for _, i := range items {
		d.mesh.Add(decodeRegistration(i.Value))
	}
	d.log.Info().Int("daemons", len(items)).Msg("daemon registered")
	return nil
}
