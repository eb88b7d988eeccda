use skylarkpulley_admin::{Client, Status};

use crate::output::format_duration;
use crate::{CliError, ExitStatus, Output, StatusCommand};

pub(crate) async fn run(
    command: &StatusCommand,
    output: &mut Output<'_>,
) -> Result<ExitStatus, CliError> {
    let status = Client::new(&command.entry)?.status().await?;
    if command.json {
        output.json(&status)?;
        return Ok(ExitStatus::Success);
    }
    print_versions(&status, output)?;
    print_evacuated(&status, output)?;
    print_members(&status, output)?;
    print_teams(&status, output)?;
    print_gangs(&status, output)?;
    print_queues(&status, output)?;
    Ok(ExitStatus::Success)
}

fn print_versions(status: &Status, output: &mut Output<'_>) -> Result<(), CliError> {
    let (entry, version, oldest) = (&status.entry, status.version, status.oldest_version);
    let distribution = if oldest == version {
        "current at all processes".to_owned()
    } else {
        format!("oldest {oldest}, superseded {} ago", format_duration(status.oldest_age_ms))
    };
    output.line(&format!("entry {entry}: version {version}, {distribution}"))?;
    let rows: Vec<_> = status
        .processes
        .iter()
        .map(|process| {
            let version = process.version.to_string();
            [
                process.process.clone(),
                process.kind.clone(),
                version,
                format_duration(process.seen_ms),
            ]
        })
        .collect();
    output.table("Processes", ["process", "kind", "version", "last report"], &rows)?;
    Ok(())
}

fn print_evacuated(status: &Status, output: &mut Output<'_>) -> Result<(), CliError> {
    let rows: Vec<_> = status
        .evacuated
        .iter()
        .map(|domain| {
            [
                domain.domain.clone(),
                domain.version.to_string(),
                domain.workers.to_string(),
                domain.runs.to_string(),
            ]
        })
        .collect();
    let header = ["domain", "store version", "workers", "runs"];
    output.table("Evacuated failure domains", header, &rows)?;
    Ok(())
}

fn print_members(status: &Status, output: &mut Output<'_>) -> Result<(), CliError> {
    let rows: Vec<_> = status
        .upstreams
        .iter()
        .map(|member| {
            [
                member.pool.clone(),
                member.name.clone(),
                member.domain.clone(),
                member.state.clone(),
                format!("{}/{}", member.busy, member.slots),
                member.connections.to_string(),
            ]
        })
        .collect();
    let header = ["pool", "upstream", "domain", "state", "slots", "connections"];
    output.table("Upstreams", header, &rows)?;
    let rows: Vec<_> = status
        .workers
        .iter()
        .map(|member| {
            [
                member.pool.clone(),
                member.name.clone(),
                format!("{}/{}", member.domain, member.rack),
                member.state.clone(),
                member.accelerators.to_string(),
                member.guaranteed.to_string(),
                member.borrowed.to_string(),
                member.reserved.to_string(),
            ]
        })
        .collect();
    let header = [
        "pool",
        "worker",
        "domain/rack",
        "state",
        "accelerators",
        "guaranteed",
        "borrowed",
        "reserved",
    ];
    output.table("Workers", header, &rows)?;
    let rows: Vec<_> = status
        .workers
        .iter()
        .filter_map(|member| {
            let slowness = member.slowness?;
            Some([
                member.pool.clone(),
                member.name.clone(),
                format!("{}.{:02}", slowness.percent / 100, slowness.percent % 100),
                format!("{}.{:02}", slowness.deviation / 100, slowness.deviation % 100),
            ])
        })
        .collect();
    if !rows.is_empty() {
        output.table("Slowness of workers", ["pool", "worker", "slowness", "deviation"], &rows)?;
    }
    Ok(())
}

fn print_teams(status: &Status, output: &mut Output<'_>) -> Result<(), CliError> {
    let rows: Vec<_> = status
        .teams
        .iter()
        .map(|team| {
            [
                team.pool.clone(),
                team.team.clone(),
                team.weight.to_string(),
                team.waiting.to_string(),
                team.used.to_string(),
                format!("{}/{}", team.claimed, team.guarantees),
                team.at_risk.to_string(),
            ]
        })
        .collect();
    let header = ["pool", "team", "weight", "waiting", "used", "claimed", "at risk"];
    output.table("Teams", header, &rows)?;
    Ok(())
}

fn print_gangs(status: &Status, output: &mut Output<'_>) -> Result<(), CliError> {
    let rows: Vec<_> = status
        .gangs
        .iter()
        .map(|gang| {
            [
                gang.pool.clone(),
                gang.job.clone(),
                gang.team.clone(),
                gang.shape.to_string(),
                gang.state.clone(),
                gang.lead.clone(),
                format_duration(gang.lease_ms),
                gang.claim.clone().unwrap_or_else(|| "borrowed".to_owned()),
            ]
        })
        .collect();
    let header = ["pool", "job", "team", "shape", "state", "lead", "lease", "claim"];
    output.table("Gangs", header, &rows)?;
    Ok(())
}

fn print_queues(status: &Status, output: &mut Output<'_>) -> Result<(), CliError> {
    let rows: Vec<_> = status
        .queues
        .iter()
        .map(|queue| {
            let waiting = queue.waiting.to_string();
            [queue.route.clone(), queue.team.clone(), waiting, format_duration(queue.oldest_ms)]
        })
        .collect();
    output.table("Queues", ["route", "team", "waiting", "oldest"], &rows)?;
    Ok(())
}
