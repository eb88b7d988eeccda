//! Crowds of clients that send announcements without completing them, against the program of an agent.
//! Each test checks that the process stays alive within its memory and descriptors, and answers
//! afterwards.

use reqwest::Method;
use skylarkpulley_client_crowd::{
    Bounds, CONTROL_KINDS, ControlCrowd, ControlKind, ControlTarget, Crowd, KINDS, Kind, Process,
    Target, free_addresses, run,
};

/// Number of connections of a crowd.
const CROWD: usize = 250;

/// Limits in the settings of the agent. Less the reserve of 400 descriptors, they allow fewer
/// connections than a crowd has.
const LIMITS: &str = "memory_mb = 48\nmax_fds = 600\n";

/// The memory that the settings give the process, and the connections that they allow beside the
/// descriptors of the process itself.
const BOUNDS: Bounds = Bounds { descriptors: 240, resident_kb: 49_152 };

async fn start_agent() -> (Process, Target, ControlTarget) {
    let [announcements, control, entry] = free_addresses().await;
    let settings = format!(
        "name = \"balance-01\"\nkind = \"upstream\"\npool = \"balance\"\ndomain = \"north\"\n\
         control = \"{control}\"\nlocal = \"{announcements}\"\nentries = [\"{entry}\"]\n\
         secret = \"a shared secret for loopback\"\n{LIMITS}"
    );
    let program = env!("CARGO_BIN_EXE_skylarkpulley-agent");
    let process = Process::start(program, &["--settings", "settings.toml"], &settings, BOUNDS);
    let target = Target {
        address: announcements,
        line: "POST /announce HTTP/1.1",
        headers: "content-type: application/json\r\n",
        body_bytes: 253_952,
        method: Method::POST,
        path: "/announce",
        body: r#"{"address":"127.0.0.1:9","state":"serving","incarnation":1}"#,
    };
    target.expect_answer().await;
    (process, target, ControlTarget { address: control, path: "/skylarkpulley.v1.Agent/Run" })
}

/// Guards against unfinished requests at the listener for announcements.
#[test]
fn announcements_mixed() {
    run(async {
        let (mut process, target, _) = start_agent().await;
        let crowds: [&[Kind]; 3] = [&[Kind::Head], &[Kind::BlankLines], &KINDS];
        Crowd::endure(&mut process, &target, &crowds, CROWD).await;
    });
}

/// Guards against clients of the control listener that do not know the secret: each kept a connection, a
/// flow-control window of 1 MB and its heads.
#[test]
fn control_mixed() {
    run(async {
        let (mut process, target, control) = start_agent().await;
        let crowds: [&[ControlKind]; 3] =
            [&[ControlKind::Messages], &[ControlKind::Silent], &CONTROL_KINDS];
        ControlCrowd::endure(&mut process, control, &crowds, CROWD).await;
        target.expect_answer().await;
    });
}
