use skylarkpulley_types::Locality;

use crate::document::Document;
use crate::read_pools::join_names;
use crate::{Fault, Feasibility, Guarantee, Packer, Pool};

/// Reports the guarantees of `pool` that do not fit on its described workers: first each guarantee
/// alone, and when every one fits alone, all together. `locations` contains for each guarantee the
/// locations of its header and of its count.
pub(crate) fn check_guarantees(document: &Document, pool: &Pool, locations: &[(Fault, Fault)]) {
    let workers = Packer::for_workers(pool);
    let mut each_fits_alone = true;
    for (guarantee, (header, count)) in pool.guarantees.iter().zip(locations) {
        let max_instances = workers.max_instances(guarantee.shape);
        if max_instances == 0 {
            let location = Fault { value: guarantee.shape.to_string(), ..header.clone() };
            document
                .report(location, &describe_unfit_shape(&workers, pool, guarantee.shape.locality));
        } else if max_instances < u64::from(guarantee.count) {
            let shape = guarantee.shape;
            let allowed = format!(
                "at most {max_instances} instances of {shape} fit on the described workers"
            );
            document.report(count.clone(), &allowed);
        }
        each_fits_alone &= max_instances >= u64::from(guarantee.count);
    }
    if each_fits_alone {
        check_all_together(document, pool, locations);
    }
}

/// Describes why not even one instance of a shape with `locality` fits.
fn describe_unfit_shape(workers: &Packer, pool: &Pool, locality: Locality) -> String {
    let max_workers = workers.max_workers_in(locality);
    let accelerators = pool.accelerators;
    match locality {
        Locality::Worker => "a shape with locality \"worker\" must have 1 worker".to_owned(),
        _ => format!(
            "the shape does not fit on the described workers: one {locality} has at most \
             {max_workers} workers with {accelerators} accelerators each"
        ),
    }
}

fn check_all_together(document: &Document, pool: &Pool, locations: &[(Fault, Fault)]) {
    match Packer::for_pool(pool).pack() {
        Feasibility::Feasible => {}
        Feasibility::Infeasible => report_first_unfit(document, pool, locations),
        Feasibility::Undecided => {
            let Some((header, _)) = locations.first() else {
                return;
            };
            let location = Fault {
                field: format!("pool.{}.guarantee", pool.name),
                value: format!("{} guarantees", pool.guarantees.len()),
                ..header.clone()
            };
            document.report(
                location,
                "it was not proved that all guarantees fit at the same time, because the search \
                 reached its limit of placements; use fewer different shapes or add workers",
            );
        }
    }
}

/// Reports the first guarantee, in order of lines, that does not fit together with the guarantees
/// before it.
fn report_first_unfit(document: &Document, pool: &Pool, locations: &[(Fault, Fault)]) {
    let mut ordered: Vec<_> = pool.guarantees.iter().zip(locations).collect();
    ordered.sort_by_key(|(_, (header, _))| header.line);
    let mut packer = Packer::for_workers(pool);
    let mut placed_names = Vec::new();
    for (guarantee, (header, _)) in ordered {
        let with_guarantee = packer.clone().with_demand(guarantee.shape, guarantee.count);
        if with_guarantee.pack() == Feasibility::Feasible {
            packer = with_guarantee;
            placed_names.push(guarantee.name.as_str());
            continue;
        }
        let max_count = max_proved_count(&packer, guarantee);
        let allowed = format!(
            "the guarantees do not all fit at the same time: together with {}, only {max_count} of \
             {} instances fit",
            join_names(&placed_names),
            guarantee.count
        );
        let location = Fault { value: guarantee.shape.to_string(), ..header.clone() };
        document.report(location, &allowed);
        return;
    }
}

/// Returns how many instances of `guarantee` are proved to fit together with the demands of
/// `packer`.
fn max_proved_count(packer: &Packer, guarantee: &Guarantee) -> u32 {
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
