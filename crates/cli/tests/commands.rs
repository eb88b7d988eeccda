//! Every command against an admin server with prepared answers.

#[path = "../../admin/tests/fake/mod.rs"]
mod fake;

use std::path::{Path, PathBuf};

use argh::FromArgs;
use fake::{Fake, Reply};
use skylarkpulley_cli::{CommandLine, ExitStatus, Output, run};

/// What a command did.
struct Ran {
    exit: ExitStatus,
    out: String,
    err: String,
    requests: Vec<String>,
}

fn sample(path: &str) -> String {
    Path::new(env!("CARGO_MANIFEST_DIR")).join("../..").join(path).display().to_string()
}

/// Runs a command line. `ENTRY` stands for the address of a server that gives `replies`, `GOOD`
/// for the files of the canteen sample.
async fn command(line: &str, replies: Vec<Reply>) -> Ran {
    let fake = Fake::start(replies).await;
    let routes = sample("samples/canteen/routes.toml");
    let pools = sample("samples/canteen/pools.toml");
    let line = line
        .replace("ENTRY", &format!("--entry {}", fake.address))
        .replace("GOOD", &format!("--routes {routes} --pools {pools}"));
    let args: Vec<_> = line.split_whitespace().collect();
    let parsed = CommandLine::from_args(&["skylarkpulley"], &args).expect("a valid command line");
    let (mut out, mut err) = (Vec::new(), Vec::new());
    let exit = run(&parsed.command, &mut Output::new(&mut out, &mut err)).await;
    let [out, err] = [out, err].map(|bytes| String::from_utf8(bytes).expect("UTF-8"));
    Ran { exit, out, err, requests: fake.requests() }
}

fn body(status: u16, json: &str) -> Vec<Reply> {
    vec![Reply::Body(status, json.to_owned())]
}

#[tokio::test]
async fn check_good() {
    let ran = command("check GOOD", vec![]).await;
    assert_eq!(ran.exit, ExitStatus::Success, "{}", ran.err);
    assert!(ran.out.starts_with("no faults in 3 routes and 2 pools\n"), "{}", ran.out);
    assert!(ran.out.ends_with("  rebuilds  3           3        1\n"), "{}", ran.out);
    let ran = command("check GOOD --json", vec![]).await;
    let report: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!(report["faults"].as_array().map(Vec::len), Some(0));
    assert_eq!(report["pools"][0]["workers"]["failures"], 3);
}

#[tokio::test]
async fn check_faults() {
    let routes = sample("crates/tables/tests/faults/priority.routes.toml");
    let pools = sample("samples/canteen/pools.toml");
    let line = format!("check --routes {routes} --pools {pools}");
    let ran = command(&line, vec![]).await;
    assert_eq!((ran.exit, ran.out.as_str()), (ExitStatus::Refused, ""));
    let fault = "5:12: route.settle.priority = 10: must be an integer from 0 to 9";
    assert_eq!(ran.err, format!("{routes}:{fault}\n1 fault\n"));
    let ran = command(&format!("{line} --json"), vec![]).await;
    let report: serde_json::Value = serde_json::from_str(&ran.out).expect("JSON");
    assert_eq!((ran.exit, ran.err.as_str()), (ExitStatus::Refused, ""));
    assert_eq!(report["faults"][0]["column"], 12);
}

#[tokio::test]
async fn check_missing_file() {
    let pools = sample("samples/canteen/pools.toml");
    let ran = command(&format!("check --routes none.toml --pools {pools}"), vec![]).await;
    assert_eq!(ran.exit, ExitStatus::Usage);
    assert!(ran.err.starts_with("file none.toml cannot be read: "), "{}", ran.err);
}

#[tokio::test]
async fn apply_accepted() {
    let replies = body(200, r#"{"result":"accepted","version":8}"#);
    let ran = command("apply ENTRY GOOD --from 7", replies).await;
    assert_eq!((ran.exit, ran.out.as_str()), (ExitStatus::Success, "accepted as version 8\n"));
    assert!(ran.requests[0].starts_with(r#"PUT /v1/tables {"from_version":7,"edit_id":""#));
}

/// Guards against a lost race that does not name the winner or what differs.
#[tokio::test]
async fn apply_conflict() {
    let json = r#"{"result":"conflict","version":9,"rows":[
        {"row":"route/check","edited":"priority = 1","current":"priority = 2"},
        {"row":"route/top-up","edited":null,"current":"priority = 3"}]}"#;
    let ran = command("apply ENTRY GOOD --from 7", body(409, json)).await;
    assert_eq!((ran.exit, ran.out.as_str()), (ExitStatus::Conflict, ""));
    let expected = "\
nothing changed: version 9 was accepted after version 7, which was edited
rows that differ between version 9 (-) and the edit (+):
route/check
  - priority = 2
  + priority = 1
route/top-up
  - priority = 3
  + (absent)
";
    assert_eq!(ran.err, expected);
    let ran = command("apply ENTRY GOOD --from 7 --json", body(409, json)).await;
    assert_eq!((ran.exit, ran.err.as_str()), (ExitStatus::Conflict, ""));
}

/// Faults are found without the entry, which is then not asked.
#[tokio::test]
async fn apply_faults() {
    let routes = sample("crates/tables/tests/faults/priority.routes.toml");
    let pools = sample("samples/canteen/pools.toml");
    let line = format!("apply ENTRY --routes {routes} --pools {pools} --from 7");
    let ran = command(&line, vec![]).await;
    assert_eq!((ran.exit, ran.requests.len()), (ExitStatus::Refused, 0));
    assert!(ran.err.contains("route.settle.priority = 10"), "{}", ran.err);
}

#[tokio::test]
async fn apply_lost_answer() {
    let ran = command("apply ENTRY GOOD --from 7", vec![Reply::Lost, Reply::Lost]).await;
    assert_eq!((ran.exit, ran.requests.len()), (ExitStatus::Unreachable, 2));
    assert!(ran.err.contains("did not answer PUT /v1/tables, which may have taken effect"));
}

#[tokio::test]
async fn show_to_files() {
    let folder = tempfile::tempdir().expect("a folder");
    let [routes, pools]: [PathBuf; 2] = ["r.toml", "p.toml"].map(|name| folder.path().join(name));
    let line = format!("show ENTRY --routes {} --pools {}", routes.display(), pools.display());
    let ran =
        command(&line, body(200, r##"{"version":3,"routes":"# r\n","pools":"# p\n"}"##)).await;
    assert_eq!(ran.exit, ExitStatus::Success, "{}", ran.err);
    assert!(ran.out.starts_with("version 3\nroutes written to "));
    let read = |path| std::fs::read_to_string(path).expect("written");
    assert_eq!((read(&routes), read(&pools)), ("# r\n".to_owned(), "# p\n".to_owned()));
}

#[tokio::test]
async fn status_readable() {
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
    let ran = command("status ENTRY", body(200, json)).await;
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
    assert_eq!((ran.exit, ran.out.as_str()), (ExitStatus::Success, expected));
}

#[tokio::test]
async fn explain_lines() {
    let json = r#"{"id":"r-1","lines":[{"age_ms":61500,"event":"request-routed","code":200,
        "process":"entry-1","detail":"u-1 has the fewest requests"}]}"#;
    let ran = command("explain ENTRY r-1", body(200, json)).await;
    let line = "1m 1s ago  200 request-routed  at entry-1: u-1 has the fewest requests\n";
    assert_eq!((ran.exit, ran.out.as_str()), (ExitStatus::Success, line));
}

#[tokio::test]
async fn submit_answers() {
    let line = "submit ENTRY --route rebuild --team campus --kind menu --accelerators 8 \
                --workers 2 --locality rack --cores 4 --memory 16GiB --run-time 2h \
                --preemption stop --claim campus-menus --urgent";
    let accepted = r#"{"result":"accepted","id":"j-7","durability":"copied"}"#;
    let ran = command(line, body(200, accepted)).await;
    assert_eq!(
        (ran.exit, ran.out.as_str()),
        (ExitStatus::Success, "accepted as job j-7 (copied)\n")
    );
    let sent = r#"POST /v1/jobs {"route":"rebuild","team":"campus","kind":"menu","#.to_owned()
        + r#""shape":{"accelerators":8,"workers":2,"locality":"rack"},"cores":4,"#
        + r#""memory_mib":16384,"run_time_ms":7200000,"preemption":"stop","#
        + r#""claim":"campus-menus","urgent":true}"#;
    assert_eq!(ran.requests, [sent]);
    let refused = r#"{"result":"refused","reason":"too wide","needed":"at most 3 workers"}"#;
    let ran = command(line, body(422, refused)).await;
    assert_eq!(ran.exit, ExitStatus::Refused);
    assert_eq!(ran.err, "refused: too wide\nneeded: at most 3 workers\n");
}

#[tokio::test]
async fn cancel_and_drain() {
    let job = r#"{"id":"j-7","route":"rebuild","team":"campus","kind":"menu","state":"cancelled",
        "shape":{"accelerators":8,"workers":2,"locality":"rack"},"age_ms":5,"members":[],
        "detail":"before it started"}"#;
    let ran = command("cancel ENTRY j-7", body(200, job)).await;
    assert_eq!(ran.out, "job j-7 is cancelled: before it started\n");
    let ran = command("drain ENTRY w-1", body(200, r#"{"member":"w-1","remaining":2}"#)).await;
    assert_eq!(ran.out, "w-1 receives no new work; 2 still run there\n");
    assert_eq!(ran.requests, ["POST /v1/drain/w-1"]);
    let ran = command("cancel ENTRY j-8", body(404, r#"{"error":"no job j-8"}"#)).await;
    assert_eq!((ran.exit, ran.err.as_str()), (ExitStatus::Refused, "not found: no job j-8\n"));
    let ran = command("cancel ENTRY j-8", body(503, r#"{"error":"no tables yet"}"#)).await;
    assert_eq!(ran.exit, ExitStatus::Unreachable);
}

/// Guards against help that does not say what the exit codes mean.
#[test]
fn help_exit_codes() {
    let early = CommandLine::from_args(&["skylarkpulley"], &["--help"]).expect_err("help");
    assert!(early.status.is_ok());
    for code in 0..=4 {
        assert!(early.output.contains(&format!("\n  {code} ")), "{}", early.output);
    }
    assert!(
        CommandLine::from_args(&["skylarkpulley"], &["apply"]).expect_err("usage").status.is_err()
    );
}
