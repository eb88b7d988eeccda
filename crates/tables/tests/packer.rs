//! Compares the results of the packer and of the tolerance analysis with exhaustive searches on
//! small pools.

use std::collections::BTreeMap;

use quickcheck::{Arbitrary, Gen, QuickCheck};
use skylarkpulley_tables::{FailureBound, Feasibility, Packer, Tolerance};
use skylarkpulley_types::{Locality, Shape};

const LOCALITIES: [Locality; 4] =
    [Locality::Worker, Locality::Rack, Locality::Domain, Locality::Pool];

/// A pool of at most 7 workers with at most 5 instances.
#[derive(Clone, Debug)]
struct SmallPool {
    accelerators: u32,
    domains: Vec<Vec<u32>>,
    instances: Vec<Shape>,
}

impl Arbitrary for SmallPool {
    fn arbitrary(g: &mut Gen) -> Self {
        let mut up_to = |max: u32| 1 + u32::arbitrary(g) % max;
        let accelerators = up_to(5);
        let mut domains = Vec::new();
        let mut remaining_workers = 7;
        for _ in 0..up_to(3) {
            let mut racks = Vec::new();
            for _ in 0..up_to(3) {
                let workers = up_to(4).min(remaining_workers);
                remaining_workers -= workers;
                racks.push(workers);
            }
            domains.push(racks);
        }
        let count = up_to(5);
        let mut shape =
            || Shape::new(up_to(accelerators), up_to(3), LOCALITIES[up_to(4) as usize - 1]);
        Self { accelerators, domains, instances: (0..count).map(|_| shape()).collect() }
    }
}

/// One worker: its domain, its rack and its free accelerators.
type Worker = (usize, usize, u32);

impl SmallPool {
    fn packer(&self) -> Packer {
        let packer = Packer::new(self.accelerators, &self.domains);
        self.instances.iter().fold(packer, |packer, shape| packer.with_demand(*shape, 1))
    }

    fn workers(&self) -> Vec<Worker> {
        let mut workers = Vec::new();
        for (domain, racks) in self.domains.iter().enumerate() {
            for (rack, count) in racks.iter().enumerate() {
                workers.extend((0..*count).map(|_| (domain, rack, self.accelerators)));
            }
        }
        workers
    }
}

/// Reports whether all instances fit. Tries every set of workers for every instance.
fn fits(workers: &mut [Worker], instances: &[Shape]) -> bool {
    let Some((shape, rest)) = instances.split_first() else {
        return true;
    };
    for set in 0..1u32 << workers.len() {
        if set.count_ones() != shape.workers {
            continue;
        }
        let members: Vec<_> = (0..workers.len()).filter(|index| set >> index & 1 == 1).collect();
        if !fits_on_members(workers, &members, shape) {
            continue;
        }
        members.iter().for_each(|index| workers[*index].2 -= shape.accelerators);
        let rest_fits = fits(workers, rest);
        members.iter().for_each(|index| workers[*index].2 += shape.accelerators);
        if rest_fits {
            return true;
        }
    }
    false
}

fn fits_on_members(workers: &[Worker], members: &[usize], shape: &Shape) -> bool {
    let (domain, rack, _) = workers[members[0]];
    members.iter().all(|index| {
        let (member_domain, member_rack, free) = workers[*index];
        let is_local = match shape.locality {
            Locality::Worker => members.len() == 1,
            Locality::Rack => member_domain == domain && member_rack == rack,
            Locality::Domain => member_domain == domain,
            Locality::Pool => true,
        };
        is_local && free >= shape.accelerators
    })
}

/// Returns the maximum number of failures after which the instances always fit. `units` are the
/// sets of workers that fail together.
fn tolerated_failures(pool: &SmallPool, units: &[Vec<usize>]) -> u32 {
    let workers = pool.workers();
    let mut max_failures = units.len() as u32;
    for failed_units in 0..1u32 << units.len() {
        let failures = failed_units.count_ones();
        let has_failed = |index: usize| {
            units
                .iter()
                .enumerate()
                .any(|(unit, members)| failed_units >> unit & 1 == 1 && members.contains(&index))
        };
        let mut live: Vec<_> = (0..workers.len())
            .filter(|index| !has_failed(*index))
            .map(|index| workers[index])
            .collect();
        if failures <= max_failures && !fits(&mut live, &pool.instances) {
            max_failures = failures - 1;
        }
    }
    max_failures
}

fn check<F: quickcheck::Testable>(seed: u64, tests: u64, property: F) {
    let size = 64;
    QuickCheck::new().rng(Gen::from_size_and_seed(size, seed)).tests(tests).quickcheck(property);
}

#[test]
fn pack_as_exhaustive() {
    fn property(pool: SmallPool) -> bool {
        let expected = fits(&mut pool.workers(), &pool.instances);
        pool.packer().pack()
            == if expected { Feasibility::Feasible } else { Feasibility::Infeasible }
    }
    check(11, 2000, property as fn(SmallPool) -> bool);
}

#[test]
fn max_instances_as_exhaustive() {
    fn property(pool: SmallPool) -> bool {
        let shape = pool.instances[0];
        let max_instances = Packer::new(pool.accelerators, &pool.domains).max_instances(shape);
        // The exhaustive search would take too long with more than 4 instances.
        let checked_count = max_instances.min(3) as usize;
        let fit = |count: usize| fits(&mut pool.workers(), &vec![shape; count]);
        fit(checked_count) && (max_instances > 3 || !fit(checked_count + 1))
    }
    check(12, 500, property as fn(SmallPool) -> bool);
}

#[test]
fn tolerance_as_exhaustive() {
    fn property(pool: SmallPool) -> bool {
        let workers = pool.workers();
        let fit = fits(&mut pool.workers(), &pool.instances);
        let Some(tolerance) = Tolerance::new(&pool.packer()) else {
            return !fit;
        };
        let single_workers: Vec<_> = (0..workers.len()).map(|index| vec![index]).collect();
        let mut racks = BTreeMap::<_, Vec<_>>::new();
        for (index, (domain, rack, _)) in workers.iter().enumerate() {
            racks.entry((domain, rack)).or_default().push(index);
        }
        let racks: Vec<_> = racks.into_values().collect();
        let exact =
            |units: &[_]| FailureBound { failures: tolerated_failures(&pool, units), exact: true };
        fit && tolerance.workers == exact(&single_workers) && tolerance.racks == exact(&racks)
    }
    check(13, 150, property as fn(SmallPool) -> bool);
}

/// Guards against a search that returns a guess when it reaches its budget. The nine instances have
/// different sizes and need all but three of the accelerators of three workers.
#[test]
fn pack_undecided() {
    let sizes = [17, 18, 19, 20, 21, 22, 23, 24, 25];
    let packer = Packer::new(64, &[vec![3]]).with_budget(0);
    let packer = sizes
        .iter()
        .fold(packer, |packer, size| packer.with_demand(Shape::new(*size, 1, Locality::Pool), 1));
    assert_eq!(packer.pack(), Feasibility::Undecided);
}

/// Checks the packer at the size of pool that the design targets, with the largest gangs and every
/// locality.
#[test]
fn pack_5000_workers() {
    let rack = || vec![3; 333];
    let domains = [rack(), rack(), rack(), rack(), rack()];
    let packer = Packer::new(8, &domains)
        .with_demand(Shape::new(8, 128, Locality::Domain), 10)
        .with_demand(Shape::new(8, 3, Locality::Rack), 600)
        .with_demand(Shape::new(4, 2, Locality::Rack), 310)
        .with_demand(Shape::new(2, 1, Locality::Worker), 1240);
    assert_eq!(packer.pack(), Feasibility::Feasible);
    // Each of the 1,665 racks has capacity for only one of these 1,666 instances, although the
    // 4,995 workers are more than the instances need in total.
    let infeasible = Packer::new(8, &domains)
        .with_demand(Shape::new(8, 3, Locality::Rack), 600)
        .with_demand(Shape::new(8, 2, Locality::Rack), 1066);
    assert_eq!(infeasible.pack(), Feasibility::Infeasible);
}

/// Guards against a search that examines equivalent states repeatedly. In racks of 7 and of 5
/// workers, 15 gangs of 3 workers leave capacity for 35 gangs of 2 workers. One more gang does not
/// fit, although all gangs together would then need only 117 of the 120 workers.
#[test]
fn pack_equivalent_states() {
    let packer = Packer::new(8, &[[vec![7; 10], vec![5; 10]].concat()])
        .with_demand(Shape::new(8, 3, Locality::Rack), 15);
    let with_pairs = |count| packer.clone().with_demand(Shape::new(8, 2, Locality::Rack), count);
    assert_eq!(with_pairs(35).pack(), Feasibility::Feasible);
    assert_eq!(with_pairs(36).pack(), Feasibility::Infeasible);
}
