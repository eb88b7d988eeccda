use skylarkpulley_types::Locality;

use crate::document::Document;
use crate::read_pools::listed;
use crate::{Fault, Feasibility, Guarantee, Packer, Pool};

/// Reports the guarantees of `pool` that do not fit on its described workers, first each alone,
/// then all together. `spots` holds the places of each guarantee's header and count.
pub(crate) fn check_shapes(document: &Document, pool: &Pool, spots: &[(Fault, Fault)]) {
    let workers = Packer::for_workers(pool);
    let mut alone = true;
    for (guarantee, (header, count)) in pool.guarantees.iter().zip(spots) {
        let most = workers.max_instances(guarantee.shape);
        if most == 0 {
            let spot = Fault { value: guarantee.shape.to_string(), ..header.clone() };
            document.report(spot, &widest_set(&workers, pool, guarantee.shape.locality));
        } else if most < u64::from(guarantee.count) {
            let shape = guarantee.shape;
            let allowed = format!("the described workers hold at most {most} instances of {shape}");
            document.report(count.clone(), &allowed);
        }
        alone &= most >= u64::from(guarantee.count);
    }
    if alone {
        check_together(document, pool, spots);
    }
}

/// Says which set of workers a shape may use at most.
fn widest_set(workers: &Packer, pool: &Pool, locality: Locality) -> String {
    let widest = workers.max_workers_in(locality);
    let accelerators = pool.accelerators;
    match locality {
        Locality::Worker => "a shape with locality \"worker\" must have 1 worker".to_owned(),
        _ => format!(
            "no set of the described workers can hold it: at most {widest} workers with \
             {accelerators} accelerators stand in one {locality}"
        ),
    }
}

fn check_together(document: &Document, pool: &Pool, spots: &[(Fault, Fault)]) {
    match Packer::for_pool(pool).pack() {
        Feasibility::Feasible => {}
        Feasibility::Infeasible => report_excess(document, pool, spots),
        Feasibility::Undecided => {
            let Some((header, _)) = spots.first() else {
                return;
            };
            let spot = Fault {
                field: format!("pool.{}.guarantee", pool.name),
                value: format!("{} guarantees", pool.guarantees.len()),
                ..header.clone()
            };
            document.report(
                spot,
                "not proved that all can be held at once: the search ended at its bound; fewer \
                 different shapes, or more spare workers, are easier to prove",
            );
        }
    }
}

/// Reports the first guarantee that does not fit beside the ones before it, in order of place.
fn report_excess(document: &Document, pool: &Pool, spots: &[(Fault, Fault)]) {
    let mut ordered: Vec<_> = pool.guarantees.iter().zip(spots).collect();
    ordered.sort_by_key(|(_, (header, _))| header.line);
    let mut packer = Packer::for_workers(pool);
    let mut before = Vec::new();
    for (guarantee, (header, _)) in ordered {
        let with_all = packer.clone().with_demand(guarantee.shape, guarantee.count);
        if with_all.pack() == Feasibility::Feasible {
            packer = with_all;
            before.push(guarantee.name.as_str());
            continue;
        }
        let most = most_beside(&packer, guarantee);
        let allowed = format!(
            "the guarantees cannot all be held at once: beside {}, {most} of {} instances fit",
            listed(&before),
            guarantee.count
        );
        let spot = Fault { value: guarantee.shape.to_string(), ..header.clone() };
        document.report(spot, &allowed);
        return;
    }
}

/// Returns how many instances of `guarantee` are proved to fit beside the demands of `packer`.
fn most_beside(packer: &Packer, guarantee: &Guarantee) -> u32 {
    let (mut low, mut high) = (0, guarantee.count - 1);
    while low < high {
        let middle = low + (high - low).div_ceil(2);
        if packer.clone().with_demand(guarantee.shape, middle).pack() == Feasibility::Feasible {
            low = middle;
        } else {
            high = middle - 1;
        }
    }
    low
}
