//! Tests of the commands against an admin server that returns prepared replies.

#[path = "../../admin/tests/fake/mod.rs"]
mod fake;

use std::path::{Path, PathBuf};

use argh::FromArgs;
use fake::{FakeServer, Reply};
use skylarkpulley_cli::{CommandLine, ExitStatus, Output, run};

/// Result of a command: its exit status, its outputs and the requests that the server received.
struct CommandResult {
    status: ExitStatus,
    out: String,
    err: String,
    requests: Vec<String>,
}

/// Returns the path of a file of the repository.
fn repository_path(path: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path).display().to_string()
}

/// Runs a command line. `ENTRY` is replaced by the option with the address of a server that returns
/// `replies`, and `GOOD` by the options with the files of the canteen sample.
async fn run_command(line: &str, replies: Vec<Reply>) -> CommandResult {
    let server = FakeServer::start(replies).await;
    let routes = repository_path("samples/canteen/routes.toml");
    let pools = repository_path("samples/canteen/pools.toml");
    let line = line
        .replace("ENTRY", &format!("--entry {}", server.address))
        .replace("GOOD", &format!("--routes {routes} --pools {pools}"));
    let args: Vec<_> = line.split_whitespace().collect();
    let parsed = CommandLine::from_args(&["skylarkpulley"], &args).expect("a valid command line");
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let status = run(&parsed.command, &mut Output::new(&mut out, &mut err)).await;
    let [out, err] = [out, err].map(|bytes| String::from_utf8(bytes).expect("UTF-8"));
    CommandResult { status, out, err, requests: server.requests() }
}

/// Returns a single reply.
fn one_reply(status: u16, json: &str) -> Vec<Reply> {
    vec![Reply::Body(status, json.to_owned())]
}

#[tokio::test]
async fn check_good() {
    let result = run_command("check GOOD", vec![]).await;
    assert_eq!(result.status, ExitStatus::Success, "{}", result.err);
    assert!(result.out.starts_with("no faults in 3 routes and 2 pools\n"), "{}", result.out);
    assert!(result.out.ends_with("  rebuilds  3           3        1\n"), "{}", result.out);
    let result = run_command("check GOOD --json", vec![]).await;
    let report: serde_json::Value = serde_json::from_str(&result.out).expect("JSON");
    assert_eq!(report["faults"].as_array().map(Vec::len), Some(0));
    assert_eq!(report["pools"][0]["workers"]["failures"], 3);
}

#[tokio::test]
async fn check_faults() {
    let routes = repository_path("crates/tables/tests/faults/priority.routes.toml");
    let pools = repository_path("samples/canteen/pools.toml");
    let line = format!("check --routes {routes} --pools {pools}");
    let result = run_command(&line, vec![]).await;
    assert_eq!((result.status, result.out.as_str()), (ExitStatus::Refused, ""));
    let fault = "5:12: route.settle.priority = 10: must be an integer from 0 to 9";
    assert_eq!(result.err, format!("{routes}:{fault}\n1 fault\n"));
    let result = run_command(&format!("{line} --json"), vec![]).await;
    let report: serde_json::Value = serde_json::from_str(&result.out).expect("JSON");
    assert_eq!((result.status, result.err.as_str()), (ExitStatus::Refused, ""));
    assert_eq!(report["faults"][0]["column"], 12);
}

#[tokio::test]
async fn check_missing_file() {
    let pools = repository_path("samples/canteen/pools.toml");
    let result = run_command(&format!("check --routes none.toml --pools {pools}"), vec![]).await;
    assert_eq!(result.status, ExitStatus::Usage);
    assert!(result.err.starts_with("file none.toml cannot be read: "), "{}", result.err);
}

#[tokio::test]
async fn apply_accepted() {
    let replies = one_reply(200, r#"{"result":"accepted","version":8}"#);
    let result = run_command("apply ENTRY GOOD --from 7", replies).await;
    assert_eq!(
        (result.status, result.out.as_str()),
        (ExitStatus::Success, "accepted as version 8\n")
    );
    assert!(result.requests[0].starts_with(r#"PUT /v1/tables {"from_version":7,"edit_id":""#));
}

/// Guards against a conflict that is reported without the current version or without the rows that
/// differ from it.
#[tokio::test]
async fn apply_conflict() {
    let json = r#"{"result":"conflict","version":9,"rows":[
        {"row":"route/check","edited":"priority = 1","current":"priority = 2"},
        {"row":"route/top-up","edited":null,"current":"priority = 3"}]}"#;
    let result = run_command("apply ENTRY GOOD --from 7", one_reply(409, json)).await;
    assert_eq!((result.status, result.out.as_str()), (ExitStatus::Conflict, ""));
    let expected = "\
nothing changed: the edit is based on version 7, but the current version is 9
rows that differ between version 9 (-) and the edit (+):
route/check
  - priority = 2
  + priority = 1
route/top-up
  - priority = 3
  + (absent)
";
    assert_eq!(result.err, expected);
    let result = run_command("apply ENTRY GOOD --from 7 --json", one_reply(409, json)).await;
    assert_eq!((result.status, result.err.as_str()), (ExitStatus::Conflict, ""));
}

/// Guards against tables with faults that are sent to the entry instead of being reported by the
/// command itself.
#[tokio::test]
async fn apply_faults() {
    let routes = repository_path("crates/tables/tests/faults/priority.routes.toml");
    let pools = repository_path("samples/canteen/pools.toml");
    let line = format!("apply ENTRY --routes {routes} --pools {pools} --from 7");
    let result = run_command(&line, vec![]).await;
    assert_eq!((result.status, result.requests.len()), (ExitStatus::Refused, 0));
    assert!(result.err.contains("route.settle.priority = 10"), "{}", result.err);
}

#[tokio::test]
async fn apply_lost_answer() {
    let result = run_command("apply ENTRY GOOD --from 7", vec![Reply::Lost, Reply::Lost]).await;
    assert_eq!((result.status, result.requests.len()), (ExitStatus::Unreachable, 2));
    assert!(result.err.contains("did not answer PUT /v1/tables, which may have taken effect"));
}

#[tokio::test]
async fn show_to_files() {
    let directory = tempfile::tempdir().expect("a temporary directory");
    let [routes, pools]: [PathBuf; 2] =
        ["r.toml", "p.toml"].map(|name| directory.path().join(name));
    let line = format!("show ENTRY --routes {} --pools {}", routes.display(), pools.display());
    let result =
        run_command(&line, one_reply(200, r##"{"version":3,"routes":"# r\n","pools":"# p\n"}"##))
            .await;
    assert_eq!(result.status, ExitStatus::Success, "{}", result.err);
    assert!(result.out.starts_with("version 3\nroutes written to "));
    let read = |path| std::fs::read_to_string(path).expect("written");
    assert_eq!((read(&routes), read(&pools)), ("# r\n".to_owned(), "# p\n".to_owned()));
}

#[tokio::test]
async fn status_tables() {
    let json = r#"{"entry":"entry-1","version":9,"oldest_version":8,"oldest_age_ms":1500,
        "upstreams":[{"pool":"balance","name":"u-1","domain":"north","state":"serving","busy":3,
            "slots":8,"connections":5}],
        "workers":[{"pool":"rebuilds","name":"w-1","domain":"north","rack":"r1",
            "state":"quarantined","accelerators":8,"guaranteed":4,"borrowed":2,"reserved":4}],
        "teams":[{"pool":"rebuilds","team":"campus","weight":8,"waiting":1,"used":6,
            "guarantees":2,"claimed":1,"at_risk":1}],
        "gangs":[{"pool":"rebuilds","job":"j-1","team":"campus","state":"running","lead":"w-1",
            "shape":{"accelerators":8,"workers":2,"locality":"rack"},"lease_ms":1600,
            "claim":null}],
        "queues":[{"route":"settle","team":"campus","waiting":4,"oldest_ms":250}],
        "processes":[{"process":"w-1","kind":"agent","version":8,"seen_ms":900}]}"#;
    let result = run_command("status ENTRY", one_reply(200, json)).await;
    let expected = "\
entry entry-1: version 9, oldest 8, superseded 1s ago

Processes
  process  kind   version  last report
  w-1      agent  8        900ms

Upstreams
  pool     upstream  domain  state    slots  connections
  balance  u-1       north   serving  3/8    5

Workers
  pool      worker  domain/rack  state        accelerators  guaranteed  borrowed  reserved
  rebuilds  w-1     north/r1     quarantined  8             4           2         4

Teams
  pool      team    weight  waiting  used  claimed  at risk
  rebuilds  campus  8       1        6     1/2      1

Gangs
  pool      job  team    shape     state    lead  lease  claim
  rebuilds  j-1  campus  8x2/rack  running  w-1   1s     borrowed

Queues
  route   team    waiting  oldest
  settle  campus  4        250ms
";
    assert_eq!((result.status, result.out.as_str()), (ExitStatus::Success, expected));
}

#[tokio::test]
async fn explain_lines() {
    let json = r#"{"id":"r-1","lines":[{"age_ms":61500,"event":"request-routed","code":200,
        "process":"entry-1","detail":"u-1 has the fewest requests"}]}"#;
    let result = run_command("explain ENTRY r-1", one_reply(200, json)).await;
    let line = "1m 1s ago  200 request-routed  at entry-1: u-1 has the fewest requests\n";
    assert_eq!((result.status, result.out.as_str()), (ExitStatus::Success, line));
}

#[tokio::test]
async fn submit_answers() {
    let line = "submit ENTRY --route rebuild --team campus --kind menu --accelerators 8 \
                --workers 2 --locality rack --cores 4 --memory 16GiB --run-time 2h \
                --preemption stop --claim campus-menus --urgent";
    let accepted = r#"{"result":"accepted","id":"j-7","durability":"copied"}"#;
    let result = run_command(line, one_reply(200, accepted)).await;
    assert_eq!(
        (result.status, result.out.as_str()),
        (ExitStatus::Success, "accepted as job j-7 (copied)\n")
    );
    let sent = r#"POST /v1/jobs {"route":"rebuild","team":"campus","kind":"menu","#.to_owned()
        + r#""shape":{"accelerators":8,"workers":2,"locality":"rack"},"cores":4,"#
        + r#""memory_mib":16384,"run_time_ms":7200000,"preemption":"stop","#
        + r#""claim":"campus-menus","urgent":true}"#;
    assert_eq!(result.requests, [sent]);
    let refused = r#"{"result":"refused","reason":"too wide","needed":"at most 3 workers"}"#;
    let result = run_command(line, one_reply(422, refused)).await;
    assert_eq!(result.status, ExitStatus::Refused);
    assert_eq!(result.err, "refused: too wide\nneeded: at most 3 workers\n");
}

#[tokio::test]
async fn cancel_and_drain() {
    let job = r#"{"id":"j-7","route":"rebuild","team":"campus","kind":"menu","state":"cancelled",
        "shape":{"accelerators":8,"workers":2,"locality":"rack"},"age_ms":5,"members":[],
        "detail":"before it started"}"#;
    let result = run_command("cancel ENTRY j-7", one_reply(200, job)).await;
    assert_eq!(result.out, "job j-7 is cancelled: before it started\n");
    let result =
        run_command("drain ENTRY w-1", one_reply(200, r#"{"member":"w-1","remaining":2}"#)).await;
    assert_eq!(
        result.out,
        "w-1 receives no new work; 2 requests or tasks are still running there\n"
    );
    assert_eq!(result.requests, ["POST /v1/drain/w-1"]);
    let result = run_command("cancel ENTRY j-8", one_reply(404, r#"{"error":"no job j-8"}"#)).await;
    assert_eq!(
        (result.status, result.err.as_str()),
        (ExitStatus::Refused, "not found: no job j-8\n")
    );
    let result =
        run_command("cancel ENTRY j-8", one_reply(503, r#"{"error":"no tables yet"}"#)).await;
    assert_eq!(result.status, ExitStatus::Unreachable);
}

/// Guards against a help text that does not explain the exit codes, and against a usage error that
/// is reported as a success.
#[test]
fn help_exit_codes() {
    let early_exit = CommandLine::from_args(&["skylarkpulley"], &["--help"]).expect_err("help");
    assert!(early_exit.status.is_ok());
    for code in 0..=4 {
        assert!(early_exit.output.contains(&format!("\n  {code} ")), "{}", early_exit.output);
    }
    assert!(
        CommandLine::from_args(&["skylarkpulley"], &["apply"]).expect_err("usage").status.is_err()
    );
}
