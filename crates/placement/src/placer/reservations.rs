//! Keeps a reservation for every guarantee instance that is not claimed, if the workers allow it.

use std::time::Duration;

use skylarkpulley_types::Shape;

use super::{Placer, Timer};
use crate::instance::Instance;
use crate::pack::{Slot, pack};
use crate::worker::Reserved;
use crate::{Action, worker::Worker};

/// Selections tried per search. This is enough to search pools of a few dozen workers exhaustively.
const SEARCH_BUDGET: u32 = 20_000;
/// In pools with more workers than this, all reservations are planned together at most once per
/// `LARGE_POOL_PLAN_INTERVAL` and with a smaller budget, so that the cost of one event is bounded.
const LARGE_POOL_WORKERS: usize = 64;
const LARGE_POOL_SEARCH_BUDGET: u32 = 64;
const LARGE_POOL_PLAN_INTERVAL: Duration = Duration::from_secs(1);
/// Reservations that may move in one search of a large pool.
const LARGE_POOL_MAX_MOVED: usize = 32;
/// Instances without a reservation that one search of a large pool tries to place.
const LARGE_POOL_MAX_PLACED: usize = 4;

impl Placer {
    /// Rebuilds the instances from the pool's guarantees and keeps those that have not changed.
    pub(super) fn rebuild_instances(&mut self) {
        let previous = std::mem::take(&mut self.instances);
        let mut new_indices = vec![None; previous.len()];
        for guarantee in &self.pool.guarantees {
            for number in 0..guarantee.count {
                let name = format!("{}/{number}", guarantee.name);
                let is_same = |instance: &Instance| {
                    instance.name == name
                        && instance.shape == guarantee.shape
                        && instance.team == guarantee.team
                };
                let retained = previous.iter().position(is_same);
                if let Some(ix) = retained {
                    new_indices[ix] = Some(self.instances.len());
                    self.instances.push(previous[ix].clone());
                    continue;
                }
                self.instances.push(Instance {
                    name,
                    guarantee: guarantee.name.clone(),
                    team: guarantee.team.clone(),
                    shape: guarantee.shape,
                    members: Vec::new(),
                    claimant: None,
                    epoch: 0,
                    at_risk: false,
                    changed_at: self.now,
                });
            }
        }
        self.epoch += 1;
        let epoch = self.epoch;
        for worker in self.workers.iter_mut().filter(|worker| worker.alive) {
            let agent = worker.agent.clone();
            worker.reserved.retain_mut(|reserved| match new_indices[reserved.instance] {
                Some(instance) => {
                    reserved.instance = instance;
                    true
                }
                None => {
                    self.actions.push(Action::ClearReservation {
                        instance: previous[reserved.instance].name.clone(),
                        worker: agent.clone(),
                        accelerators: reserved.accelerators,
                        epoch,
                        reason: "the guarantee was removed or changed".to_owned(),
                    });
                    false
                }
            });
        }
        for job in self.jobs.iter_mut().flatten() {
            job.instance = job.instance.and_then(|instance| new_indices[instance]);
        }
        for ix in 0..self.workers.len() {
            self.update_free_index(ix);
        }
        self.planning_due = true;
    }

    /// Sets the members of an instance and notifies the agents. An empty list removes its
    /// reservation.
    pub(super) fn set_members(&mut self, ix: usize, members: &[usize], reason: &str) {
        let previous = std::mem::replace(&mut self.instances[ix].members, members.to_vec());
        self.epoch += 1;
        let epoch = self.epoch;
        self.instances[ix].epoch = epoch;
        self.instances[ix].changed_at = self.now;
        for worker in previous {
            if !members.contains(&worker) {
                self.set_reserved(worker, ix, 0, epoch, reason, true);
            }
        }
        for worker in members {
            let unclaimed_accelerators = self.unclaimed_accelerators(ix, *worker);
            self.set_reserved(*worker, ix, unclaimed_accelerators, epoch, reason, true);
        }
    }

    /// Returns the accelerators that the instance reserves on a worker in addition to those that
    /// its claim uses.
    fn unclaimed_accelerators(&self, ix: usize, worker: usize) -> u32 {
        let instance = &self.instances[ix];
        let claimed = instance.claimant.map_or(0, |job| {
            let members = self.job(job).members.iter().filter(|member| member.0 == worker);
            members.map(|member| member.1).sum()
        });
        instance.shape.accelerators.saturating_sub(claimed)
    }

    fn set_reserved(
        &mut self,
        worker: usize,
        instance: usize,
        accelerators: u32,
        epoch: u64,
        reason: &str,
        notify_agent: bool,
    ) {
        let now = self.now;
        let Worker { reserved, agent, alive, .. } = &mut self.workers[worker];
        let position = reserved.iter().position(|reserved| reserved.instance == instance);
        let before = position.map(|position| reserved[position].accelerators);
        if let Some(position) = position {
            reserved.remove(position);
        }
        if accelerators > 0 {
            reserved.push(Reserved { instance, accelerators, epoch, set_at: now });
        }
        let name = self.instances[instance].name.clone();
        let (worker_id, reason) = (agent.clone(), reason.to_owned());
        if notify_agent && *alive {
            if accelerators > 0 && before != Some(accelerators) {
                self.actions.push(Action::SetReservation {
                    instance: name,
                    worker: worker_id,
                    accelerators,
                    epoch,
                    reason,
                });
            } else if accelerators == 0 && before.is_some() {
                self.actions.push(Action::ClearReservation {
                    instance: name,
                    worker: worker_id,
                    accelerators: before.unwrap_or(0),
                    epoch,
                    reason,
                });
            }
        }
        self.update_free_index(worker);
    }

    /// Records that `job` claims the instance. The members of the job must be set. The agents are
    /// not notified, because they convert the reservations themselves.
    pub(super) fn claim(&mut self, ix: usize, job: usize) {
        self.instances[ix].claimant = Some(job);
        self.instances[ix].changed_at = self.now;
        let epoch = self.instances[ix].epoch;
        for worker in self.instances[ix].members.clone() {
            let unclaimed_accelerators = self.unclaimed_accelerators(ix, worker);
            self.set_reserved(worker, ix, unclaimed_accelerators, epoch, "claimed", false);
        }
    }

    /// Turns the claim of a job back into a reservation. The grants of the job must have been
    /// removed.
    pub(super) fn unclaim(&mut self, job: usize) {
        if self.job(job).non_preemptible {
            self.planning_due = true;
        }
        let Some(ix) = self.job_mut(job).instance.take() else { return };
        self.instances[ix].claimant = None;
        let members = self.instances[ix].members.clone();
        let complete = members.len() == self.instances[ix].shape.workers as usize;
        let usable = |worker: &usize| {
            // Another entry may have granted more on the worker than this placer planned.
            let worker = &self.workers[*worker];
            let reserved_for_instance =
                worker.reserved.iter().filter(|reserved| reserved.instance == ix);
            let reserved_for_instance: u32 =
                reserved_for_instance.map(|reserved| reserved.accelerators).sum();
            let capacity = worker.lendable() + reserved_for_instance;
            worker.is_usable() && capacity >= self.instances[ix].shape.accelerators
        };
        let retained = if complete && members.iter().all(usable) { members } else { Vec::new() };
        self.set_members(ix, &retained, "the claim ended");
        self.planning_due = true;
    }

    /// Removes the reservation of an instance because one of its workers is no longer usable. A
    /// claimed instance only loses its members on lost workers.
    pub(super) fn withdraw_reservation(&mut self, ix: usize, reason: &str) {
        if self.instances[ix].claimant.is_none() {
            self.set_members(ix, &[], reason);
        } else {
            let workers = &self.workers;
            self.instances[ix].members.retain(|worker| workers[*worker].alive);
        }
        self.planning_due = true;
    }

    /// Removes the reservations of all instances that have one on the worker.
    pub(super) fn withdraw_reservations_on(&mut self, worker: usize, reason: &str) {
        let reserved = &self.workers[worker].reserved;
        let instances: Vec<usize> = reserved.iter().map(|reserved| reserved.instance).collect();
        for instance in instances {
            self.withdraw_reservation(instance, reason);
        }
    }

    /// Plans a reservation for every unclaimed instance that has none.
    pub(super) fn plan_reservations(&mut self) {
        if !self.planning_due {
            return;
        }
        let large = self.workers.len() > LARGE_POOL_WORKERS;
        if large && self.now < self.next_plan {
            self.planning_due = false;
            self.timers.insert((self.next_plan, Timer::PlanReservations));
            return;
        }
        self.planning_due = false;
        let is_unclaimed = |instance: &Instance| instance.claimant.is_none();
        for ix in 0..self.instances.len() {
            if is_unclaimed(&self.instances[ix]) && self.instances[ix].members.is_empty() {
                self.place_instance(ix);
            }
        }
        let missing = self
            .instances
            .iter()
            .any(|instance| is_unclaimed(instance) && instance.members.is_empty());
        if missing {
            if large {
                self.next_plan = self.now + LARGE_POOL_PLAN_INTERVAL;
            }
            self.rearrange_reservations();
        }
        self.report_risks();
    }

    fn search_budget(&self) -> u32 {
        if self.workers.len() > LARGE_POOL_WORKERS {
            LARGE_POOL_SEARCH_BUDGET
        } else {
            SEARCH_BUDGET
        }
    }

    /// Reserves workers for one instance without moving other reservations.
    fn place_instance(&mut self, ix: usize) -> bool {
        let slots = self.slots(Worker::lendable);
        let shape = self.instances[ix].shape;
        let Some(mut placement) = pack(&slots, &[shape], &mut self.search_budget()) else {
            return false;
        };
        self.set_members(ix, &placement.remove(0), "a set of workers was found");
        true
    }

    /// Moves reservations so that as many instances as possible have one.
    fn rearrange_reservations(&mut self) {
        let unclaimed: Vec<usize> =
            (0..self.instances.len()).filter(|ix| self.instances[*ix].claimant.is_none()).collect();
        let (mut placed, mut missing): (Vec<usize>, Vec<usize>) =
            unclaimed.into_iter().partition(|ix| !self.instances[*ix].members.is_empty());
        if self.workers.len() > LARGE_POOL_WORKERS {
            // Reservations of small shapes are the easiest to move.
            placed.sort_by_key(|ix| self.instances[*ix].shape.total());
            placed.truncate(LARGE_POOL_MAX_MOVED);
            missing.truncate(LARGE_POOL_MAX_PLACED);
        }
        let available = |worker: &Worker| {
            let fixed_reservations =
                worker.reserved.iter().filter(|reserved| !placed.contains(&reserved.instance));
            let fixed_reservations: u32 =
                fixed_reservations.map(|reserved| reserved.accelerators).sum();
            worker.accelerators.saturating_sub(worker.non_preemptible() + fixed_reservations)
        };
        let slots = self.slots(available);
        let shapes = |indices: &[usize]| -> Vec<Shape> {
            indices.iter().map(|ix| self.instances[*ix].shape).collect()
        };
        let all: Vec<usize> = placed.iter().chain(&missing).copied().collect();
        let mut search_budget = self.search_budget();
        let mut best =
            pack(&slots, &shapes(&all), &mut search_budget).map(|placement| (all, placement));
        if best.is_none() {
            for ix in missing {
                placed.push(ix);
                match pack(&slots, &shapes(&placed), &mut self.search_budget()) {
                    Some(placement) => best = Some((placed.clone(), placement)),
                    None => {
                        placed.pop();
                    }
                }
            }
        }
        let Some((rearranged, placement)) = best else { return };
        for ix in &rearranged {
            self.set_members(*ix, &[], "the reservations are being rearranged");
        }
        for (ix, members) in rearranged.into_iter().zip(placement) {
            self.set_members(ix, &members, "the reservations were rearranged");
        }
        self.mark_capacity_freed();
    }

    /// Returns the capacity of the usable workers. Workers with little borrowed work have a low
    /// cost, so that reservations disturb as little of it as possible.
    fn slots(&self, capacity: impl Fn(&Worker) -> u32) -> Vec<Slot> {
        let usable = self.workers.iter().enumerate().filter(|(_, worker)| worker.is_usable());
        usable
            .map(|(ix, worker)| Slot {
                worker: ix,
                rack: worker.rack,
                domain: worker.domain,
                capacity: capacity(worker),
                cost: worker.used() - worker.non_preemptible(),
            })
            .collect()
    }

    fn report_risks(&mut self) {
        for instance in &mut self.instances {
            let at_risk = instance.claimant.is_none() && instance.members.is_empty();
            if at_risk == instance.at_risk {
                continue;
            }
            instance.at_risk = at_risk;
            let name = instance.name.clone();
            self.actions.push(if at_risk {
                let reason = format!(
                    "no set of usable workers has capacity for {} in addition to the other \
                     guarantees",
                    instance.shape
                );
                Action::GuaranteeAtRisk { instance: name, reason }
            } else {
                let reason = "a set of workers was found".to_owned();
                Action::GuaranteeRestored { instance: name, reason }
            });
        }
    }

    /// Adopts a reservation that another entry set.
    pub(super) fn adopt_reservation(&mut self, worker: usize, ix: usize, epoch: u64) {
        let accelerators = self.instances[ix].shape.accelerators;
        let full = self.instances[ix].members.len() >= self.instances[ix].shape.workers as usize;
        if full || self.instances[ix].members.contains(&worker) {
            return;
        }
        self.instances[ix].members.push(worker);
        self.instances[ix].epoch = self.instances[ix].epoch.max(epoch);
        self.set_reserved(worker, ix, accelerators, epoch, "adopted after a takeover", false);
    }

    /// Adopts a claim that another entry placed.
    pub(super) fn adopt_claim(&mut self, worker: usize, job: usize, name: &str) {
        let Some(ix) = self.instances.iter().position(|instance| instance.name == name) else {
            return;
        };
        if self.instances[ix].claimant.is_some_and(|claimant| claimant != job) {
            return;
        }
        if self.instances[ix].claimant.is_none() && self.ready {
            self.set_members(ix, &[], "claimed through another entry");
        }
        if !self.instances[ix].members.contains(&worker) {
            self.instances[ix].members.push(worker);
        }
        self.job_mut(job).instance = Some(ix);
        self.claim(ix, job);
        // Another instance may be able to use the workers that this instance has left.
        self.planning_due = true;
        self.resolve_overlap(worker);
    }

    /// Removes reservations from a worker on which another entry granted non-preemptible work, if
    /// both exceed its accelerators.
    pub(super) fn resolve_overlap(&mut self, worker: usize) {
        let is_overcommitted =
            |worker: &Worker| worker.non_preemptible() + worker.reserved() > worker.accelerators;
        if !self.ready || !is_overcommitted(&self.workers[worker]) {
            return;
        }
        self.withdraw_reservations_on(
            worker,
            "another entry granted capacity of the worker to non-preemptible work",
        );
        if is_overcommitted(&self.workers[worker]) {
            // The remaining reservations belong to claimed instances, which use other accelerators
            // of this worker. There is no capacity for their unclaimed part.
            self.workers[worker].reserved.clear();
        }
        self.update_free_index(worker);
    }

    /// Removes reservations that were adopted only in part, or that are not valid, once the placer
    /// is ready.
    pub(super) fn drop_incomplete_reservations(&mut self) {
        for ix in 0..self.instances.len() {
            let instance = &self.instances[ix];
            let partial = !instance.members.is_empty()
                && instance.members.len() < instance.shape.workers as usize;
            if instance.claimant.is_none() && (partial || !self.is_valid(ix)) {
                self.set_members(
                    ix,
                    &[],
                    "the reservation is incomplete or not valid after a takeover",
                );
            }
        }
        self.planning_due = true;
    }

    /// Reports whether the members of an instance satisfy its locality, are usable, and are not
    /// overcommitted.
    fn is_valid(&self, ix: usize) -> bool {
        let instance = &self.instances[ix];
        let workers = || instance.members.iter().map(|worker| &self.workers[*worker]);
        let Some(first) = workers().next() else { return true };
        workers().all(|worker| {
            let is_local = match instance.shape.locality {
                skylarkpulley_types::Locality::Rack => worker.rack == first.rack,
                skylarkpulley_types::Locality::Domain => worker.domain == first.domain,
                _ => true,
            };
            is_local
                && worker.is_usable()
                && worker.non_preemptible() + worker.reserved() <= worker.accelerators
        })
    }
}
