//! Keeps a reservation for every guarantee instance that is not claimed.

use std::time::Duration;

use skylarkpulley_types::Shape;

use super::{Placer, Timer};
use crate::instance::Instance;
use crate::pack::{Slot, pack};
use crate::worker::Reserved;
use crate::{Action, worker::Worker};

/// Selections tried per search. Pools of a few dozen workers are searched exhaustively within it.
const BUDGET: u32 = 20_000;
/// In larger pools the whole plan is searched at most once per period, with a smaller budget, so
/// that one event has bounded cost.
const LARGE: usize = 64;
const LARGE_BUDGET: u32 = 64;
const LARGE_PERIOD: Duration = Duration::from_secs(1);
/// Reservations that may move, and instances placed by it, in one search of a large pool.
const LARGE_MOVED: usize = 32;
const LARGE_PLACED: usize = 4;

impl Placer {
    /// Brings the instances in line with the pool's guarantees.
    pub(super) fn rebuild_instances(&mut self) {
        let old = std::mem::take(&mut self.instances);
        let mut moved = vec![None; old.len()];
        for guarantee in &self.pool.guarantees {
            for number in 0..guarantee.count {
                let name = format!("{}/{number}", guarantee.name);
                let same = |instance: &Instance| {
                    instance.name == name
                        && instance.shape == guarantee.shape
                        && instance.team == guarantee.team
                };
                let kept = old.iter().position(same);
                if let Some(ix) = kept {
                    moved[ix] = Some(self.instances.len());
                    self.instances.push(old[ix].clone());
                    continue;
                }
                self.instances.push(Instance {
                    name,
                    guarantee: guarantee.name.clone(),
                    team: guarantee.team.clone(),
                    shape: guarantee.shape,
                    members: Vec::new(),
                    claim: None,
                    epoch: 0,
                    at_risk: false,
                    moved: self.now,
                });
            }
        }
        self.epoch += 1;
        let epoch = self.epoch;
        for worker in self.workers.iter_mut().filter(|worker| worker.alive) {
            let agent = worker.agent.clone();
            worker.reserved.retain_mut(|reserved| match moved[reserved.instance] {
                Some(instance) => {
                    reserved.instance = instance;
                    true
                }
                None => {
                    self.out.push(Action::ClearReservation {
                        instance: old[reserved.instance].name.clone(),
                        worker: agent.clone(),
                        accelerators: reserved.accelerators,
                        epoch,
                        reason: "guarantee was removed or changed".to_owned(),
                    });
                    false
                }
            });
        }
        for job in self.jobs.iter_mut().flatten() {
            job.instance = job.instance.and_then(|instance| moved[instance]);
        }
        for ix in 0..self.workers.len() {
            self.refresh(ix);
        }
        self.plan = true;
    }

    /// Gives an instance new members and tells the agents; an empty list takes its place away.
    pub(super) fn set_members(&mut self, ix: usize, members: &[usize], reason: &str) {
        let old = std::mem::replace(&mut self.instances[ix].members, members.to_vec());
        self.epoch += 1;
        let epoch = self.epoch;
        self.instances[ix].epoch = epoch;
        self.instances[ix].moved = self.now;
        for worker in old {
            if !members.contains(&worker) {
                self.set_reserved(worker, ix, 0, epoch, reason, true);
            }
        }
        for worker in members {
            let rest = self.rest(ix, *worker);
            self.set_reserved(*worker, ix, rest, epoch, reason, true);
        }
    }

    /// What the instance sets aside on a worker beside its claim.
    fn rest(&self, ix: usize, worker: usize) -> u32 {
        let instance = &self.instances[ix];
        let claimed = instance.claim.map_or(0, |job| {
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
        tell: bool,
    ) {
        let now = self.now;
        let Worker { reserved, agent, alive, .. } = &mut self.workers[worker];
        let position = reserved.iter().position(|reserved| reserved.instance == instance);
        let before = position.map(|position| reserved[position].accelerators);
        if let Some(position) = position {
            reserved.remove(position);
        }
        if accelerators > 0 {
            reserved.push(Reserved { instance, accelerators, epoch, set: now });
        }
        let name = self.instances[instance].name.clone();
        let (worker_id, reason) = (agent.clone(), reason.to_owned());
        if tell && *alive {
            if accelerators > 0 && before != Some(accelerators) {
                self.out.push(Action::SetReservation {
                    instance: name,
                    worker: worker_id,
                    accelerators,
                    epoch,
                    reason,
                });
            } else if accelerators == 0 && before.is_some() {
                self.out.push(Action::ClearReservation {
                    instance: name,
                    worker: worker_id,
                    accelerators: before.unwrap_or(0),
                    epoch,
                    reason,
                });
            }
        }
        self.refresh(worker);
    }

    /// Records that `job`, which has its members, claims the instance. The agents convert the
    /// reservations themselves.
    pub(super) fn claim(&mut self, ix: usize, job: usize) {
        self.instances[ix].claim = Some(job);
        self.instances[ix].moved = self.now;
        let epoch = self.instances[ix].epoch;
        for worker in self.instances[ix].members.clone() {
            let rest = self.rest(ix, worker);
            self.set_reserved(worker, ix, rest, epoch, "claimed", false);
        }
    }

    /// Turns the claim of a job, whose grants are gone, back into a reservation.
    pub(super) fn unclaim(&mut self, job: usize) {
        if self.job(job).non_preemptible {
            self.plan = true;
        }
        let Some(ix) = self.job_mut(job).instance.take() else { return };
        self.instances[ix].claim = None;
        let members = self.instances[ix].members.clone();
        let whole = members.len() == self.instances[ix].shape.workers as usize;
        let usable = |worker: &usize| {
            // Checked because a worker reported by another entry may hold more than planned.
            let worker = &self.workers[*worker];
            let own = worker.reserved.iter().filter(|reserved| reserved.instance == ix);
            let own: u32 = own.map(|reserved| reserved.accelerators).sum();
            let room = worker.uncovered() + own;
            worker.is_usable() && room >= self.instances[ix].shape.accelerators
        };
        let kept = if whole && members.iter().all(usable) { members } else { Vec::new() };
        self.set_members(ix, &kept, "claim ended");
        self.plan = true;
    }

    /// Takes the place of an instance away because one of its workers is no longer usable.
    pub(super) fn displace(&mut self, ix: usize, reason: &str) {
        if self.instances[ix].claim.is_none() {
            self.set_members(ix, &[], reason);
        } else {
            let workers = &self.workers;
            self.instances[ix].members.retain(|worker| workers[*worker].alive);
        }
        self.plan = true;
    }

    pub(super) fn displace_worker(&mut self, worker: usize, reason: &str) {
        let reserved = &self.workers[worker].reserved;
        let instances: Vec<usize> = reserved.iter().map(|reserved| reserved.instance).collect();
        for instance in instances {
            self.displace(instance, reason);
        }
    }

    /// Finds a place for every instance that has none.
    pub(super) fn plan_reservations(&mut self) {
        if !self.plan {
            return;
        }
        let large = self.workers.len() > LARGE;
        if large && self.now < self.plan_at {
            self.plan = false;
            self.timers.insert((self.plan_at, Timer::Plan));
            return;
        }
        self.plan = false;
        let is_open = |instance: &Instance| instance.claim.is_none();
        for ix in 0..self.instances.len() {
            if is_open(&self.instances[ix]) && self.instances[ix].members.is_empty() {
                self.plan_one(ix);
            }
        }
        let missing = self.instances.iter().any(|one| is_open(one) && one.members.is_empty());
        if missing {
            if large {
                self.plan_at = self.now + LARGE_PERIOD;
            }
            self.plan_all();
        }
        self.report_risks();
    }

    fn budget(&self) -> u32 {
        if self.workers.len() > LARGE { LARGE_BUDGET } else { BUDGET }
    }

    /// Places one instance beside the others.
    fn plan_one(&mut self, ix: usize) -> bool {
        let slots = self.slots(Worker::uncovered);
        let shape = self.instances[ix].shape;
        let Some(mut found) = pack(&slots, &[shape], &mut self.budget()) else { return false };
        self.set_members(ix, &found.remove(0), "place found");
        true
    }

    /// Moves reservations so that as many instances as possible have a place.
    fn plan_all(&mut self) {
        let open: Vec<usize> =
            (0..self.instances.len()).filter(|ix| self.instances[*ix].claim.is_none()).collect();
        let (mut placed, mut missing): (Vec<usize>, Vec<usize>) =
            open.into_iter().partition(|ix| !self.instances[*ix].members.is_empty());
        if self.workers.len() > LARGE {
            // Small shapes find another place most easily.
            placed.sort_by_key(|ix| self.instances[*ix].shape.total());
            placed.truncate(LARGE_MOVED);
            missing.truncate(LARGE_PLACED);
        }
        let fixed = |worker: &Worker| {
            let stays = worker.reserved.iter().filter(|one| !placed.contains(&one.instance));
            let stays: u32 = stays.map(|reserved| reserved.accelerators).sum();
            worker.accelerators.saturating_sub(worker.non_preemptible() + stays)
        };
        let slots = self.slots(fixed);
        let shapes = |ixs: &[usize]| -> Vec<Shape> {
            ixs.iter().map(|ix| self.instances[*ix].shape).collect()
        };
        let all: Vec<usize> = placed.iter().chain(&missing).copied().collect();
        let mut budget = self.budget();
        let mut best = pack(&slots, &shapes(&all), &mut budget).map(|found| (all, found));
        if best.is_none() {
            for ix in missing {
                placed.push(ix);
                match pack(&slots, &shapes(&placed), &mut self.budget()) {
                    Some(found) => best = Some((placed.clone(), found)),
                    None => {
                        placed.pop();
                    }
                }
            }
        }
        let Some((ixs, found)) = best else { return };
        for ix in &ixs {
            self.set_members(*ix, &[], "reservations are rearranged");
        }
        for (ix, members) in ixs.into_iter().zip(found) {
            self.set_members(ix, &members, "reservations were rearranged");
        }
        self.freed();
    }

    /// Describes what usable workers offer. Little borrowed work in the way comes first.
    fn slots(&self, room: impl Fn(&Worker) -> u32) -> Vec<Slot> {
        let usable = self.workers.iter().enumerate().filter(|(_, worker)| worker.is_usable());
        usable
            .map(|(ix, worker)| Slot {
                worker: ix,
                rack: worker.rack,
                domain: worker.domain,
                room: room(worker),
                cost: worker.used() - worker.non_preemptible(),
            })
            .collect()
    }

    fn report_risks(&mut self) {
        for instance in &mut self.instances {
            let at_risk = instance.claim.is_none() && instance.members.is_empty();
            if at_risk == instance.at_risk {
                continue;
            }
            instance.at_risk = at_risk;
            let name = instance.name.clone();
            self.out.push(if at_risk {
                let reason = format!(
                    "no set of usable workers can hold {} beside the other guarantees",
                    instance.shape
                );
                Action::GuaranteeAtRisk { instance: name, reason }
            } else {
                let reason = "a place was found".to_owned();
                Action::GuaranteeRestored { instance: name, reason }
            });
        }
    }

    /// Takes over a reservation that another entry set.
    pub(super) fn adopt_reservation(&mut self, worker: usize, ix: usize, epoch: u64) {
        let accelerators = self.instances[ix].shape.accelerators;
        let full = self.instances[ix].members.len() >= self.instances[ix].shape.workers as usize;
        if full || self.instances[ix].members.contains(&worker) {
            return;
        }
        self.instances[ix].members.push(worker);
        self.instances[ix].epoch = self.instances[ix].epoch.max(epoch);
        self.set_reserved(worker, ix, accelerators, epoch, "taken over", false);
    }

    /// Takes over a claim that another entry placed.
    pub(super) fn adopt_claim(&mut self, worker: usize, job: usize, name: &str) {
        let Some(ix) = self.instances.iter().position(|instance| instance.name == name) else {
            return;
        };
        if self.instances[ix].claim.is_some_and(|claim| claim != job) {
            return;
        }
        if self.instances[ix].claim.is_none() && self.settled {
            self.set_members(ix, &[], "claimed through another entry");
        }
        if !self.instances[ix].members.contains(&worker) {
            self.instances[ix].members.push(worker);
        }
        self.job_mut(job).instance = Some(ix);
        self.claim(ix, job);
        // Workers that the instance left may be what another one waits for.
        self.plan = true;
        self.resolve_overlap(worker);
    }

    /// Moves reservations away from a worker on which another entry granted non-preemptible work.
    pub(super) fn resolve_overlap(&mut self, worker: usize) {
        let over = |one: &Worker| one.non_preemptible() + one.reserved() > one.accelerators;
        if !self.settled || !over(&self.workers[worker]) {
            return;
        }
        self.displace_worker(worker, "another entry granted the worker to non_preemptible work");
        if over(&self.workers[worker]) {
            // Only rests of claimed instances are left; there is no room for them here.
            self.workers[worker].reserved.clear();
        }
        self.refresh(worker);
    }

    /// Drops partly adopted reservations once the placer has settled.
    pub(super) fn settle_reservations(&mut self) {
        for ix in 0..self.instances.len() {
            let instance = &self.instances[ix];
            let partial = !instance.members.is_empty()
                && instance.members.len() < instance.shape.workers as usize;
            if instance.claim.is_none() && (partial || !self.is_sound(ix)) {
                self.set_members(ix, &[], "incomplete after a takeover");
            }
        }
        self.plan = true;
    }

    /// Reports whether an adopted place satisfies the locality and no accelerator is promised twice.
    fn is_sound(&self, ix: usize) -> bool {
        let instance = &self.instances[ix];
        let workers = || instance.members.iter().map(|worker| &self.workers[*worker]);
        let Some(first) = workers().next() else { return true };
        workers().all(|worker| {
            let near = match instance.shape.locality {
                skylarkpulley_types::Locality::Rack => worker.rack == first.rack,
                skylarkpulley_types::Locality::Domain => worker.domain == first.domain,
                _ => true,
            };
            near && worker.is_usable()
                && worker.non_preemptible() + worker.reserved() <= worker.accelerators
        })
    }
}
