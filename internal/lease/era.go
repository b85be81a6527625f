package lease

import (
	"time"

	"github.com/guavatrack/guavatrack/internal/table"
	"github.com/guavatrack/guavatrack/pkg/fleet"
)

// eraState is the part of the protocol state that concerns a table that was restored
// from an older copy of itself.
//
// The restored record may lack the last claim and renewals, so that it names another
// holder than the one that acts, or none. Therefore a record that was not written in
// the present era proves nothing about who acts. A process claims on it only after the
// time for which a holder of an earlier era may act without contact to the table,
// counted from when the process first saw the era. A holder that could rule out any
// other at that moment is the exception: it gives no orders until it has claimed the
// lease again, but need not wait.
type eraState struct {
	// eraSeen reports whether an era was read, era is the latest one and eraSince when
	// it was first read.
	eraSeen  bool
	era      table.Era
	eraSince time.Duration
	// heldThrough reports whether this process could act when it first read the era.
	heldThrough bool
}

// ObserveEra updates the state with an era of the table and reports whether it is a
// later one than before.
func (s *State) ObserveEra(now time.Duration, era table.Era) (changed bool) {
	if s.eraSeen && era <= s.era {
		return false
	}
	_, mayAct := s.MayAct(now)
	changed = s.eraSeen
	s.eraState = eraState{eraSeen: true, era: era, eraSince: now, heldThrough: changed && mayAct}
	s.isHolder = false
	return changed
}

// ofThisEra reports whether the record was written in the present era. Before the
// first restoration every record was.
func (s *State) ofThisEra() bool {
	return s.era == 0 || s.version != table.Absent && s.record.Era == s.era
}

// earlierHoldersEnded reports whether no holder of an earlier era but this process can
// still act.
func (s *State) earlierHoldersEnded(now time.Duration) bool {
	return s.ofThisEra() || s.heldThrough || now-s.eraSince >= s.LeaseDuration+clockMargin
}

// nextFencing returns the fencing number of a claim. It rises with each write of the
// record and with the era, so that it is higher than any number of an earlier era even
// if the record has gone back.
func (s *State) nextFencing() fleet.FencingNumber {
	return fleet.FencingNumber(max(s.version, table.VersionIn(s.era, 0))) + 1
}
