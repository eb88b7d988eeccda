use std::time::Instant;

use crate::grant::{Claim, Grant, Stage};
use crate::{
    Action, CHECKPOINT_GRACE, HOLD_TIMEOUT, Hold, HoldReply, Ledger, Refusal, Reservation,
};

/// What a hold displaces.
#[derive(Default)]
struct Displaced {
    /// Uncommitted holds that yield at once.
    wounded: Vec<String>,
    /// Borrowed grants that get a checkpoint grace period.
    victims: Vec<String>,
}

/// Admission of holds, and reservations.
impl Ledger {
    /// Admits `hold`, or refuses it without a change.
    pub(crate) fn admit(
        &mut self,
        hold: &Hold,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> Result<HoldReply, Refusal> {
        if let Some(grant) = self.grants.get_mut(&hold.gang) {
            match &mut grant.stage {
                Stage::Held { expires } if grant.epoch == hold.epoch => {
                    *expires = now + HOLD_TIMEOUT;
                    return Ok(HoldReply::Held);
                }
                Stage::Pending { .. } | Stage::Held { .. } => {}
                _ => {
                    let (gang, epoch) = (hold.gang.clone(), grant.epoch);
                    return Err(Refusal::Committed { gang, epoch });
                }
            }
        }
        // A repeat of a pending hold, or a newer proposal, is judged afresh.
        let before = self.grants.remove(&hold.gang);
        self.restore(before.as_ref().and_then(|grant| grant.claim.clone()));
        match self.displace(hold) {
            Ok(displaced) => Ok(self.place(hold, displaced, now, actions)),
            Err(refusal) => {
                if let Some(grant) = before {
                    self.put_back(&hold.gang, grant);
                }
                Err(refusal)
            }
        }
    }

    fn put_back(&mut self, gang: &str, grant: Grant) {
        if let Some(claim) = grant.claim.as_ref().filter(|claim| claim.restore) {
            self.reservations.remove(&claim.reservation.instance);
        }
        self.grants.insert(gang.to_owned(), grant);
    }

    /// Decides what `hold` displaces; changes nothing.
    fn displace(&self, hold: &Hold) -> Result<Displaced, Refusal> {
        let mut displaced = Displaced::default();
        if let Some(instance) = &hold.instance {
            displaced.wounded.extend(self.check_claim(hold, instance)?);
        } else if !hold.preemptible {
            self.check_covered(hold.accelerators)?;
        }
        let rank = (hold.rank, hold.gang.clone());
        let order = (hold.instance.is_none(), &rank);
        let ahead = self.sum(|grant| !grant.occupies() && grant.order() < order);
        let need = hold.accelerators.saturating_add(ahead);
        let free = self.wound(order, need, &mut displaced);
        if free >= need {
            return Ok(displaced);
        }
        let mut soon = free + self.sum(|grant| grant.leaves() || self.yields(grant, order));
        for gang in hold.evict.iter().filter(|_| hold.instance.is_some()) {
            let Some(grant) =
                self.grants.get(gang).filter(|grant| soon < need && self.is_victim(grant))
            else {
                continue;
            };
            soon += grant.accelerators;
            displaced.victims.push(gang.clone());
        }
        if soon < need {
            return Err(Refusal::InsufficientAccelerators { asked: hold.accelerators, free });
        }
        Ok(displaced)
    }

    /// Chooses the lowest uncommitted holds that have to yield and returns what is free then.
    fn wound(&self, order: (bool, &(crate::Rank, String)), need: u32, out: &mut Displaced) -> u32 {
        let gone = |gang: &String| out.wounded.contains(gang);
        let used: u32 = self
            .grants
            .iter()
            .filter(|(gang, grant)| grant.occupies() && !gone(gang))
            .map(|(_, grant)| grant.accelerators)
            .sum();
        let mut free = self.accelerators.saturating_sub(used);
        let mut lower: Vec<_> = self
            .grants
            .iter()
            .filter(|(_, grant)| matches!(grant.stage, Stage::Held { .. }) && grant.claim.is_none())
            .filter(|(_, grant)| grant.order() > order)
            .collect();
        lower.sort_by(|(_, a), (_, b)| b.order().cmp(&a.order()));
        for (gang, grant) in lower {
            if free >= need {
                break;
            }
            free += grant.accelerators;
            out.wounded.push(gang.clone());
        }
        free
    }

    /// A commit of a lower gang that has not started may still fall through within the lease.
    fn yields(&self, grant: &Grant, order: (bool, &(crate::Rank, String))) -> bool {
        matches!(grant.stage, Stage::Committed { .. }) && grant.order() > order && order.0
    }

    fn is_victim(&self, grant: &Grant) -> bool {
        let taken = matches!(grant.stage, Stage::Committed { .. } | Stage::Running { .. });
        taken && grant.evictable() && !grant.leaves()
    }

    /// Checks that the instance may be claimed and returns the uncommitted claim that yields.
    fn check_claim(&self, hold: &Hold, instance: &str) -> Result<Option<String>, Refusal> {
        let asked = hold.accelerators;
        let oversized = |reservation: &Reservation| {
            let (instance, reserved) = (instance.to_owned(), reservation.accelerators);
            (asked > reserved).then_some(Refusal::ExceedsReservation { instance, asked, reserved })
        };
        if let Some(reservation) = self.reservations.get(instance) {
            return oversized(reservation).map_or(Ok(None), Err);
        }
        let holder = self.grants.iter().find_map(|(gang, grant)| {
            let claim = grant.claim.as_ref()?;
            (claim.reservation.instance == instance).then_some((gang, grant, claim))
        });
        let Some((gang, grant, claim)) = holder else {
            return Err(Refusal::NoReservation { instance: instance.to_owned() });
        };
        let outranked = (hold.rank, hold.gang.clone()) < grant.rank;
        if !claim.restore || !grant.is_open() || !outranked {
            return Err(Refusal::Claimed { instance: instance.to_owned(), gang: gang.clone() });
        }
        oversized(&claim.reservation).map_or(Ok(Some(gang.clone())), Err)
    }

    fn check_covered(&self, asked: u32) -> Result<(), Refusal> {
        let free = self.accelerators.saturating_sub(self.firm());
        if asked > free { Err(Refusal::InsufficientUnreserved { asked, free }) } else { Ok(()) }
    }

    fn place(
        &mut self,
        hold: &Hold,
        displaced: Displaced,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> HoldReply {
        for gang in &displaced.wounded {
            if let Some(grant) = self.grants.remove(gang) {
                self.restore(grant.claim);
            }
        }
        let reservation =
            hold.instance.as_ref().and_then(|instance| self.reservations.remove(instance));
        let claim = reservation.map(|reservation| Claim { reservation, restore: true });
        self.grants.insert(hold.gang.clone(), Grant::new(hold, claim, now + HOLD_TIMEOUT));
        for gang in &displaced.victims {
            self.evict(gang, CHECKPOINT_GRACE, true, now, actions);
        }
        self.promote();
        match self.grants.get(&hold.gang).map(Grant::occupies) {
            Some(true) => HoldReply::Held,
            _ => HoldReply::Pending,
        }
    }

    /// Turns pending holds into held ones, in their order, as far as accelerators are free. The
    /// first one that does not fit keeps what is free from those behind it.
    pub(crate) fn promote(&mut self) {
        let mut free = self.accelerators.saturating_sub(self.sum(Grant::occupies));
        let mut pending: Vec<&mut Grant> =
            self.grants.values_mut().filter(|grant| !grant.occupies()).collect();
        pending.sort_by(|a, b| a.order().cmp(&b.order()));
        for grant in pending {
            let Stage::Pending { expires } = grant.stage else { continue };
            if grant.accelerators > free {
                return;
            }
            free -= grant.accelerators;
            grant.stage = Stage::Held { expires };
        }
    }

    /// Removes a grant, restores the reservation that it had converted and serves pending holds.
    pub(crate) fn drop_grant(&mut self, gang: &str) {
        let Some(grant) = self.grants.remove(gang) else { return };
        self.restore(grant.claim);
        self.promote();
    }

    fn restore(&mut self, claim: Option<Claim>) {
        if let Some(claim) = claim.filter(|claim| claim.restore) {
            let instance = claim.reservation.instance.clone();
            self.reservations.insert(instance, claim.reservation);
        }
    }

    /// Applies the reservation changes of `hold`; on an error the caller undoes them.
    pub(crate) fn change_reservations(&mut self, hold: &Hold) -> Result<(), Refusal> {
        for instance in &hold.unreserve {
            self.unreserve(instance, hold.epoch)?;
        }
        for reservation in &hold.reserve {
            self.reserve(reservation)?;
        }
        Ok(())
    }

    fn unreserve(&mut self, instance: &str, epoch: u64) -> Result<(), Refusal> {
        self.check_instance(instance, epoch)?;
        self.reservations.remove(instance);
        let claims = self.grants.values_mut().filter_map(|grant| grant.claim.as_mut());
        for claim in claims.filter(|claim| claim.reservation.instance == instance) {
            claim.restore = false;
        }
        Ok(())
    }

    fn reserve(&mut self, reservation: &Reservation) -> Result<(), Refusal> {
        let instance = &reservation.instance;
        self.check_instance(instance, reservation.epoch)?;
        let holder = self.grants.iter().find(|(_, grant)| {
            grant.claim.as_ref().is_some_and(|claim| claim.reservation.instance == *instance)
        });
        if let Some((gang, _)) = holder {
            let (instance, gang) = (instance.clone(), gang.clone());
            return Err(Refusal::Claimed { instance, gang });
        }
        self.reservations.remove(instance);
        self.check_covered(reservation.accelerators)?;
        self.reservations.insert(instance.clone(), reservation.clone());
        Ok(())
    }

    fn check_instance(&mut self, instance: &str, epoch: u64) -> Result<(), Refusal> {
        let seen = self.instances.entry(instance.to_owned()).or_default();
        if *seen > epoch {
            return Err(Refusal::Stale { name: instance.to_owned(), epoch, seen: *seen });
        }
        *seen = epoch;
        Ok(())
    }

    fn sum(&self, test: impl Fn(&Grant) -> bool) -> u32 {
        self.grants.values().filter(|grant| test(grant)).map(|grant| grant.accelerators).sum()
    }

    /// Accelerators that reservations and firm grants cover.
    fn firm(&self) -> u32 {
        let reserved: u32 = self.reservations.values().map(|r| r.accelerators).sum();
        reserved + self.grants.values().map(Grant::firm).sum::<u32>()
    }
}
