use std::time::Instant;

use crate::grant::{Claim, Grant, Stage};
use crate::{
    Action, CHECKPOINT_GRACE, HOLD_TIMEOUT, Hold, HoldReply, Ledger, Refusal, Reservation,
};

/// Grants that a hold displaces.
#[derive(Default)]
struct Displacement {
    /// Uncommitted holds that are dropped immediately.
    dropped_holds: Vec<String>,
    /// Grants of borrowed capacity that are evicted after a grace period for a checkpoint.
    evicted_grants: Vec<String>,
}

/// Admission of holds, and changes of reservations.
impl Ledger {
    /// Admits `hold`, or refuses it and changes nothing.
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
        // A repeat of a pending hold, or a newer proposal, is evaluated as if it were new.
        let previous = self.grants.remove(&hold.gang);
        self.restore_reservation(previous.as_ref().and_then(|grant| grant.claim.clone()));
        match self.plan_displacement(hold) {
            Ok(displacement) => Ok(self.apply(hold, displacement, now, actions)),
            Err(refusal) => {
                if let Some(grant) = previous {
                    self.reinstate(&hold.gang, grant);
                }
                Err(refusal)
            }
        }
    }

    fn reinstate(&mut self, gang: &str, grant: Grant) {
        if let Some(claim) = grant.claim.as_ref().filter(|claim| claim.restorable) {
            self.reservations.remove(&claim.reservation.instance);
        }
        self.grants.insert(gang.to_owned(), grant);
    }

    /// Determines what `hold` displaces, without changing anything.
    fn plan_displacement(&self, hold: &Hold) -> Result<Displacement, Refusal> {
        let mut displacement = Displacement::default();
        if let Some(instance) = &hold.instance {
            displacement.dropped_holds.extend(self.check_claim(hold, instance)?);
        } else if !hold.preemptible {
            self.check_unreserved(hold.accelerators)?;
        }
        let rank = (hold.rank, hold.gang.clone());
        let order = (hold.instance.is_none(), &rank);
        let queued_ahead =
            self.sum_accelerators(|grant| !grant.is_allocated() && grant.admission_order() < order);
        let required = hold.accelerators.saturating_add(queued_ahead);
        let free = self.select_dropped_holds(order, required, &mut displacement);
        if free >= required {
            return Ok(displacement);
        }
        let mut available_soon =
            free + self.sum_accelerators(|grant| grant.is_ending() || self.may_lapse(grant, order));
        for gang in hold.evict.iter().filter(|_| hold.instance.is_some()) {
            let Some(grant) = self
                .grants
                .get(gang)
                .filter(|grant| available_soon < required && self.can_be_evicted(grant))
            else {
                continue;
            };
            available_soon += grant.accelerators;
            displacement.evicted_grants.push(gang.clone());
        }
        if available_soon < required {
            return Err(Refusal::InsufficientAccelerators { requested: hold.accelerators, free });
        }
        Ok(displacement)
    }

    /// Selects the lowest-ranked uncommitted holds that have to be dropped for `required`
    /// accelerators and returns the number that is free afterwards.
    fn select_dropped_holds(
        &self,
        order: (bool, &(crate::Rank, String)),
        required: u32,
        displacement: &mut Displacement,
    ) -> u32 {
        let is_dropped = |gang: &String| displacement.dropped_holds.contains(gang);
        let used: u32 = self
            .grants
            .iter()
            .filter(|(gang, grant)| grant.is_allocated() && !is_dropped(gang))
            .map(|(_, grant)| grant.accelerators)
            .sum();
        let mut free = self.accelerators.saturating_sub(used);
        let mut lower: Vec<_> = self
            .grants
            .iter()
            .filter(|(_, grant)| matches!(grant.stage, Stage::Held { .. }) && grant.claim.is_none())
            .filter(|(_, grant)| grant.admission_order() > order)
            .collect();
        lower.sort_by(|(_, a), (_, b)| b.admission_order().cmp(&a.admission_order()));
        for (gang, grant) in lower {
            if free >= required {
                break;
            }
            free += grant.accelerators;
            displacement.dropped_holds.push(gang.clone());
        }
        free
    }

    /// Returns whether `grant` is the commit of a lower-ranked gang that has not started, which may
    /// still lapse within the lease.
    fn may_lapse(&self, grant: &Grant, order: (bool, &(crate::Rank, String))) -> bool {
        matches!(grant.stage, Stage::Committed { .. }) && grant.admission_order() > order && order.0
    }

    fn can_be_evicted(&self, grant: &Grant) -> bool {
        let is_committed = matches!(grant.stage, Stage::Committed { .. } | Stage::Running { .. });
        is_committed && grant.is_evictable() && !grant.is_ending()
    }

    /// Checks that the instance may be claimed, and returns the gang whose uncommitted claim has to
    /// be dropped for it, if any.
    fn check_claim(&self, hold: &Hold, instance: &str) -> Result<Option<String>, Refusal> {
        let requested = hold.accelerators;
        let exceeds_reservation = |reservation: &Reservation| {
            let (instance, reserved) = (instance.to_owned(), reservation.accelerators);
            (requested > reserved).then_some(Refusal::ExceedsReservation {
                instance,
                requested,
                reserved,
            })
        };
        if let Some(reservation) = self.reservations.get(instance) {
            return exceeds_reservation(reservation).map_or(Ok(None), Err);
        }
        let claimant = self.grants.iter().find_map(|(gang, grant)| {
            let claim = grant.claim.as_ref()?;
            (claim.reservation.instance == instance).then_some((gang, grant, claim))
        });
        let Some((gang, grant, claim)) = claimant else {
            return Err(Refusal::NoReservation { instance: instance.to_owned() });
        };
        let outranks = (hold.rank, hold.gang.clone()) < grant.rank;
        if !claim.restorable || !grant.is_uncommitted() || !outranks {
            return Err(Refusal::Claimed { instance: instance.to_owned(), gang: gang.clone() });
        }
        exceeds_reservation(&claim.reservation).map_or(Ok(Some(gang.clone())), Err)
    }

    fn check_unreserved(&self, requested: u32) -> Result<(), Refusal> {
        let free = self.accelerators.saturating_sub(self.guaranteed_accelerators());
        if requested > free {
            Err(Refusal::InsufficientUnreserved { requested, free })
        } else {
            Ok(())
        }
    }

    fn apply(
        &mut self,
        hold: &Hold,
        displacement: Displacement,
        now: Instant,
        actions: &mut Vec<Action>,
    ) -> HoldReply {
        for gang in &displacement.dropped_holds {
            if let Some(grant) = self.grants.remove(gang) {
                self.restore_reservation(grant.claim);
            }
        }
        let reservation =
            hold.instance.as_ref().and_then(|instance| self.reservations.remove(instance));
        let claim = reservation.map(|reservation| Claim { reservation, restorable: true });
        self.grants.insert(hold.gang.clone(), Grant::new(hold, claim, now + HOLD_TIMEOUT));
        for gang in &displacement.evicted_grants {
            self.evict(gang, CHECKPOINT_GRACE, true, now, actions);
        }
        self.promote_pending();
        match self.grants.get(&hold.gang).map(Grant::is_allocated) {
            Some(true) => HoldReply::Held,
            _ => HoldReply::Pending,
        }
    }

    /// Turns pending holds into held ones in their order, as far as accelerators are free. The
    /// first hold that does not fit blocks the holds after it from the accelerators that are free.
    pub(crate) fn promote_pending(&mut self) {
        let mut free = self.accelerators.saturating_sub(self.sum_accelerators(Grant::is_allocated));
        let mut pending: Vec<&mut Grant> =
            self.grants.values_mut().filter(|grant| !grant.is_allocated()).collect();
        pending.sort_by(|a, b| a.admission_order().cmp(&b.admission_order()));
        for grant in pending {
            let Stage::Pending { expires } = grant.stage else { continue };
            if grant.accelerators > free {
                return;
            }
            free -= grant.accelerators;
            grant.stage = Stage::Held { expires };
        }
    }

    /// Removes a grant, restores the reservation that it had claimed and serves pending holds.
    pub(crate) fn drop_grant(&mut self, gang: &str) {
        let Some(grant) = self.grants.remove(gang) else { return };
        self.restore_reservation(grant.claim);
        self.promote_pending();
    }

    fn restore_reservation(&mut self, claim: Option<Claim>) {
        if let Some(claim) = claim.filter(|claim| claim.restorable) {
            let instance = claim.reservation.instance.clone();
            self.reservations.insert(instance, claim.reservation);
        }
    }

    /// Applies the reservation changes of `hold`. If it fails, the caller must undo them.
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
            claim.restorable = false;
        }
        Ok(())
    }

    fn reserve(&mut self, reservation: &Reservation) -> Result<(), Refusal> {
        let instance = &reservation.instance;
        self.check_instance(instance, reservation.epoch)?;
        let claimant = self.grants.iter().find(|(_, grant)| {
            grant.claim.as_ref().is_some_and(|claim| claim.reservation.instance == *instance)
        });
        if let Some((gang, _)) = claimant {
            let (instance, gang) = (instance.clone(), gang.clone());
            return Err(Refusal::Claimed { instance, gang });
        }
        self.reservations.remove(instance);
        self.check_unreserved(reservation.accelerators)?;
        self.reservations.insert(instance.clone(), reservation.clone());
        Ok(())
    }

    fn check_instance(&mut self, instance: &str, epoch: u64) -> Result<(), Refusal> {
        let latest_epoch = self.instance_epochs.entry(instance.to_owned()).or_default();
        if *latest_epoch > epoch {
            return Err(Refusal::Stale { name: instance.to_owned(), epoch, seen: *latest_epoch });
        }
        *latest_epoch = epoch;
        Ok(())
    }

    fn sum_accelerators(&self, predicate: impl Fn(&Grant) -> bool) -> u32 {
        self.grants.values().filter(|grant| predicate(grant)).map(|grant| grant.accelerators).sum()
    }

    /// Returns the number of accelerators covered by reservations and guaranteed grants.
    fn guaranteed_accelerators(&self) -> u32 {
        let reserved: u32 = self.reservations.values().map(|r| r.accelerators).sum();
        reserved + self.grants.values().map(Grant::guaranteed_accelerators).sum::<u32>()
    }
}
