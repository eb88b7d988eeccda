use std::fs;
use std::path::Path;

use serde::Serialize;
use skylarkpulley_tables::{
    FailureBound, Fault, Packer, SourceFile, Tables, Tolerance, parse_files,
};

use crate::{Check, CliError, ExitStatus, Output};

/// Result of `check --json`.
#[derive(Serialize)]
struct Report {
    faults: Vec<Fault>,
    pools: Vec<PoolReport>,
}

/// What a pool's guarantees survive.
#[derive(Serialize)]
struct PoolReport {
    pool: String,
    guarantees: usize,
    workers: Survives,
    racks: Survives,
}

#[derive(Serialize)]
struct Survives {
    failures: u32,
    /// False when more failures may be survived.
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

/// Reads a file.
pub(crate) fn read(path: &Path) -> Result<Vec<u8>, CliError> {
    fs::read(path).map_err(|source| CliError::File {
        path: path.display().to_string(),
        action: "read",
        source,
    })
}

/// Checks the contents of both files; faults name the files.
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

/// Writes faults to the error output.
pub(crate) fn print_faults(faults: &[Fault], output: &mut Output<'_>) {
    for fault in faults {
        output.error(&fault.to_string());
    }
    let plural = if faults.len() == 1 { "" } else { "s" };
    output.error(&format!("{} fault{plural}", faults.len()));
}

fn pool_reports(tables: &Tables) -> Vec<PoolReport> {
    let survives = |bound: FailureBound| Survives { failures: bound.failures, exact: bound.exact };
    let guaranteed = tables.pools.iter().filter(|pool| !pool.guarantees.is_empty());
    guaranteed
        .filter_map(|pool| {
            let tolerance = Tolerance::new(&Packer::for_pool(pool))?;
            Some(PoolReport {
                pool: pool.name.clone(),
                guarantees: pool.guarantees.len(),
                workers: survives(tolerance.workers),
                racks: survives(tolerance.racks),
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
    let bound = |survives: &Survives| {
        let least = if survives.exact { "" } else { "at least " };
        format!("{least}{}", survives.failures)
    };
    let row = |pool: &PoolReport| {
        let guarantees = pool.guarantees.to_string();
        [pool.pool.clone(), guarantees, bound(&pool.workers), bound(&pool.racks)]
    };
    let rows: Vec<_> = report.pools.iter().map(row).collect();
    output.columns(
        "All guarantees still fit after any of these failures",
        ["pool", "guarantees", "workers", "racks"],
        &rows,
    )?;
    Ok(())
}
