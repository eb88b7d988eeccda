use std::time::Duration;

use skylarkpulley_placement::{ReportedGrant, ReportedReservation, WorkerReport};
use skylarkpulley_proto::v1;

/// Converts the state in a worker's report for the placer.
pub(crate) fn to_report(state: &v1::WorkerState) -> WorkerReport {
    let to_grant = |grant: &v1::Grant| ReportedGrant {
        job: grant.gang.clone(),
        epoch: grant.epoch,
        accelerators: grant.accelerators,
        instance: (!grant.instance.is_empty()).then(|| grant.instance.clone()),
        preemptible: grant.preemptible,
        running: grant.running,
        run_time: Duration::from_millis(grant.running_ms),
        memory_mib: grant.memory_used_mib,
    };
    let to_reservation = |reservation: &v1::Reservation| ReportedReservation {
        instance: reservation.instance.clone(),
        epoch: reservation.epoch,
        accelerators: reservation.accelerators,
    };
    WorkerReport {
        grants: state.grants.iter().map(to_grant).collect(),
        reservations: state.reservations.iter().map(to_reservation).collect(),
    }
}
