use std::fs;
use std::path::Path;

use serde::Serialize;
use skylarkpulley_tables::{
    FailureBound, Fault, Packer, SourceFile, Tables, Tolerance, parse_files,
};

use crate::{Check, CliError, ExitStatus, Output};

/// Document that `check --json` prints.
#[derive(Serialize)]
struct Report {
    faults: Vec<Fault>,
    pools: Vec<PoolReport>,
}

/// Failures that a pool tolerates without losing a guarantee.
#[derive(Serialize)]
struct PoolReport {
    pool: String,
    guarantees: usize,
    workers: FailureTolerance,
    racks: FailureTolerance,
}

#[derive(Serialize)]
struct FailureTolerance {
    /// All guarantees still fit after any set of this many failures.
    failures: u32,
    /// Whether `failures` is the maximum. False if the analysis reached one of its limits, so
    /// that more failures may be tolerated.
    exact: bool,
}

pub(crate) fn run(command: &Check, output: &mut Output<'_>) -> Result<ExitStatus, CliError> {
    let (routes, pools) = (read(&command.routes)?, read(&command.pools)?);
    let (tables, faults) = match parse_both(&command.routes, &routes, &command.pools, &pools) {
        Ok(tables) => (tables, Vec::new()),
        Err(faults) => (Tables::default(), faults),
    };
    let report = Report { pools: pool_reports(&tables), faults };
    if command.json {
        output.json(&report)?;
    } else {
        print(&report, &tables, output)?;
    }
    Ok(if report.faults.is_empty() { ExitStatus::Success } else { ExitStatus::Refused })
}

/// Reads a file as bytes.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>, CliError> {
    fs::read(path).map_err(|source| CliError::File {
        path: path.display().to_string(),
        action: "read",
        source,
    })
}

/// Parses and checks the contents of both files. Each fault contains the path of its file.
pub(crate) fn parse_both(
    routes_path: &Path,
    routes: &[u8],
    pools_path: &Path,
    pools: &[u8],
) -> Result<Tables, Vec<Fault>> {
    let names = [routes_path, pools_path].map(|path| path.display().to_string());
    parse_files(
        SourceFile { name: &names[0], bytes: routes },
        SourceFile { name: &names[1], bytes: pools },
    )
}

/// Writes the faults and their number to the error output.
pub(crate) fn print_faults(faults: &[Fault], output: &mut Output<'_>) {
    for fault in faults {
        output.error(&fault.to_string());
    }
    let plural = if faults.len() == 1 { "" } else { "s" };
    output.error(&format!("{} fault{plural}", faults.len()));
}

fn pool_reports(tables: &Tables) -> Vec<PoolReport> {
    let to_tolerance =
        |bound: FailureBound| FailureTolerance { failures: bound.failures, exact: bound.exact };
    let pools_with_guarantees = tables.pools.iter().filter(|pool| !pool.guarantees.is_empty());
    pools_with_guarantees
        .filter_map(|pool| {
            let tolerance = Tolerance::new(&Packer::for_pool(pool))?;
            Some(PoolReport {
                pool: pool.name.clone(),
                guarantees: pool.guarantees.len(),
                workers: to_tolerance(tolerance.workers),
                racks: to_tolerance(tolerance.racks),
            })
        })
        .collect()
}

fn print(report: &Report, tables: &Tables, output: &mut Output<'_>) -> Result<(), CliError> {
    if !report.faults.is_empty() {
        print_faults(&report.faults, output);
        return Ok(());
    }
    let (routes, pools) = (tables.routes.len(), tables.pools.len());
    output.line(&format!("no faults in {routes} routes and {pools} pools"))?;
    let format_tolerance = |tolerance: &FailureTolerance| {
        let prefix = if tolerance.exact { "" } else { "at least " };
        format!("{prefix}{}", tolerance.failures)
    };
    let row = |pool: &PoolReport| {
        let guarantees = pool.guarantees.to_string();
        [
            pool.pool.clone(),
            guarantees,
            format_tolerance(&pool.workers),
            format_tolerance(&pool.racks),
        ]
    };
    let rows: Vec<_> = report.pools.iter().map(row).collect();
    output.table(
        "All guarantees still fit after any of these failures",
        ["pool", "guarantees", "workers", "racks"],
        &rows,
    )?;
    Ok(())
}
