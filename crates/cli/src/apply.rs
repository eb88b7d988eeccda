use std::hash::{BuildHasher, RandomState};
use std::time::{SystemTime, UNIX_EPOCH};

use skylarkpulley_admin::{ApplyReply, ApplyRequest, Client, RowDifference};

use crate::check::{parse_both, print_faults, read};
use crate::{Apply, CliError, ExitStatus, Output};

pub(crate) async fn run(command: &Apply, output: &mut Output<'_>) -> Result<ExitStatus, CliError> {
    let client = Client::new(&command.entry)?;
    let (routes, pools) = (read(&command.routes)?, read(&command.pools)?);
    // The entry checks the tables too. The check here needs no entry, and its faults contain the
    // paths of the files.
    let reply = match parse_both(&command.routes, &routes, &command.pools, &pools) {
        Err(faults) => ApplyReply::Rejected { faults },
        Ok(_) => {
            let edit = ApplyRequest {
                from_version: command.from,
                edit_id: new_edit_id(),
                routes: String::from_utf8_lossy(&routes).into_owned(),
                pools: String::from_utf8_lossy(&pools).into_owned(),
            };
            client.apply(&edit).await?
        }
    };
    if command.json {
        output.json(&reply)?;
    } else {
        print(&reply, command.from, output)?;
    }
    Ok(match reply {
        ApplyReply::Accepted { .. } => ExitStatus::Success,
        ApplyReply::Rejected { .. } => ExitStatus::Refused,
        ApplyReply::Conflict { .. } => ExitStatus::Conflict,
    })
}

/// Returns a unique id for an edit, made of the time and 64 random bits.
fn new_edit_id() -> String {
    let time = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
    let random = RandomState::new().hash_one(std::process::id());
    format!("{:x}-{random:016x}", time.as_nanos())
}

fn print(reply: &ApplyReply, from: u64, output: &mut Output<'_>) -> Result<(), CliError> {
    match reply {
        ApplyReply::Accepted { version } => {
            output.line(&format!("accepted as version {version}"))?
        }
        ApplyReply::Rejected { faults } => print_faults(faults, output),
        ApplyReply::Conflict { version, rows } => {
            output.error(&format!(
                "nothing changed: the edit is based on version {from}, but the current version is \
                 {version}"
            ));
            print_differences(*version, rows, output);
        }
    }
    Ok(())
}

fn print_differences(version: u64, rows: &[RowDifference], output: &mut Output<'_>) {
    if rows.is_empty() {
        output.error(&format!("version {version} has the same rows as the edit"));
        return;
    }
    output.error(&format!("rows that differ between version {version} (-) and the edit (+):"));
    for row in rows {
        output.error(&row.row);
        for (sign, text) in [('-', &row.current), ('+', &row.edited)] {
            match text {
                Some(text) => {
                    text.lines().for_each(|line| output.error(&format!("  {sign} {line}")))
                }
                None => output.error(&format!("  {sign} (absent)")),
            }
        }
    }
}
