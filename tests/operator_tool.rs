//! Runs the operator's tool as a process against a daemon's operator port. Guards against exit codes,
//! JSON fields and outcomes that scripts cannot rely on.

#[allow(dead_code)]
#[path = "support/fake_store.rs"]
mod fake_store;

use fake_store::{CommitFault, FakeStore};
use fireflygauge::{
    clock::Clock,
    entry::{
        directory::Directory,
        operator_api::{OperatorApi, OperatorContext},
    },
    operator::report::Readiness,
    peer::{
        PeerContext, PeerService,
        message::{ForwardReply, HoldReply},
    },
    target_api::GrantReply,
    world::{Incarnation, Link, Vm, VmRole, VmState},
};
use serde_json::{Value, json};
use std::{
    net::{SocketAddr, TcpListener},
    process::{Command, Output},
    sync::Arc,
    time::{Duration, Instant},
};
use test_case::test_case;

const EXAMPLE: &str = "examples/mittelland.toml";

struct Daemon {
    addr: SocketAddr,
    store: FakeStore,
    directory: Directory,
    _peers: PeerService,
    _api: OperatorApi,
}

impl Daemon {
    fn start() -> Self {
        let store = FakeStore::start();
        let peer_listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let addr = listener.local_addr().unwrap();
        store.set_vms(vec![target("rounds-1", addr)]);
        let link = Link {
            name: "entry-1".into(),
            incarnation: Incarnation(7),
            zone: "a".into(),
            peer_addr: peer_listener.local_addr().unwrap(),
        };
        let directory = Directory::start();
        let peers = PeerService::start(peer_listener, peer_context(&link, &directory, &store));
        let peers = peers.unwrap();
        let context = OperatorContext {
            link,
            directory: directory.clone(),
            store: store.client(),
            peers: peers.handle(),
            readiness: Arc::new(|| Readiness {
                ready: false,
                reasons: vec!["no configuration".into()],
            }),
            groups_status: Arc::new(|| json!([{ "group": "rounds/0", "role": "standby" }])),
            explain: Arc::new(|reference| match reference {
                "known/1" => Ok(json!({ "reason": "All slots were taken." })),
                _ => Err("this is no reference of this deployment".into()),
            }),
            metrics_text: Arc::new(|| "requests 3\n".into()),
        };
        let api = OperatorApi::start(listener, context).unwrap();
        Self {
            addr,
            store,
            directory,
            _peers: peers,
            _api: api,
        }
    }

    fn run(&self, args: &[&str]) -> Output {
        let server = self.addr.to_string();
        tool(&[&["--server", &server, "--operator", "anna"], args].concat())
    }

    fn run_json(&self, args: &[&str]) -> (i32, Value) {
        let output = self.run(&[args, &["--json"]].concat());
        let text = if output.stdout.is_empty() {
            &output.stderr
        } else {
            &output.stdout
        };
        let value = serde_json::from_slice(text);
        (
            code(&output),
            value.unwrap_or_else(|e| panic!("{e}: {output:?}")),
        )
    }

    fn apply(&self) {
        assert_eq!(code(&self.run(&["config", "apply", EXAMPLE, "--wait"])), 0);
        let started = Instant::now();
        while self.directory.snapshot().load().target_names.is_empty() {
            assert!(started.elapsed() < Duration::from_secs(5), "no VM list");
            std::thread::sleep(Duration::from_millis(2));
        }
    }
}

fn target(name: &str, addr: SocketAddr) -> Vm {
    Vm {
        name: name.into(),
        zone: "a".into(),
        addr,
        state: VmState::Live,
        role: VmRole::Target {
            service: "rounds".into(),
        },
    }
}

fn peer_context(link: &Link, directory: &Directory, store: &FakeStore) -> PeerContext {
    PeerContext {
        link: link.clone(),
        clock: Clock::start(),
        directory: directory.clone(),
        store: store.client(),
        controls: Arc::new(Vec::new),
        ready: Arc::new(|| true),
        stopping: Arc::new(|| false),
        answer_hold: Arc::new(|_| Box::pin(std::future::pending::<HoldReply>())),
        handle_grant: Arc::new(|_| Box::pin(std::future::pending::<GrantReply>())),
        forward: Arc::new(|_| Box::pin(async { ForwardReply::NotRun("unexpected".into()) })),
    }
}

fn tool(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_fireflygauge"))
        .args(args)
        .env_remove("FIREFLYGAUGE_SERVER")
        .env_remove("FIREFLYGAUGE_OPERATOR")
        .output()
        .unwrap()
}

fn code(output: &Output) -> i32 {
    output.status.code().unwrap()
}

/// Scripts rely on the exit codes that the help documents.
#[test_case(&["config", "check", EXAMPLE], 0; "valid_declaration")]
#[test_case(&["config", "check", "Cargo.toml"], 1; "invalid_declaration")]
#[test_case(&["config", "check", "examples/missing.toml"], 2; "missing_file")]
#[test_case(&["config", "diff", EXAMPLE, "--from", "examples/ma-west.toml"], 0; "difference_of_files")]
#[test_case(&["preset", "use"], 2; "missing_argument")]
#[test_case(&["status"], 2; "no_server")]
#[test_case(&["preset", "use", "peak", "--server", "127.0.0.1:1"], 2; "no_operator_name")]
#[test_case(&["status", "--server", "127.0.0.1:1"], 4; "unreachable")]
#[test_case(&["explain-route", "--server", "127.0.0.1:1", "--host", "h"], 2; "no_path")]
#[test_case(&["explain-route", "--host", "h", "--path", "/x"], 2; "no_status_address")]
#[test_case(&["explain-route", "--server", "127.0.0.1:1", "--host", "h", "--path", "/x"], 4; "status_unreachable")]
#[test_case(&["explain-route", "--server", "127.0.0.1:1,127.0.0.1:2", "--all", "--host", "h", "--path", "/x"], 4; "all_unreachable")]
#[test_case(&["--help"], 0; "help")]
fn exit_code_without_a_daemon(args: &[&str], expected: i32) {
    let output = tool(args);
    assert_eq!(code(&output), expected, "{output:?}");
}

/// Every report must be available as a table and as JSON.
#[test_case(&["config", "show"], "/head/version", json!(1); "config_show")]
#[test_case(&["config", "diff", EXAMPLE], "/changes", json!([]); "config_diff")]
#[test_case(&["config", "history"], "/0/by", json!("anna"); "config_history")]
#[test_case(&["audit", "--limit", "1"], "/0/action/kind", json!("apply"); "audit")]
#[test_case(&["preset", "list"], "/in_force", json!("ordinary"); "preset_list")]
#[test_case(&["target", "list"], "/0/name", json!("rounds-1"); "target_list")]
#[test_case(&["assignment", "show"], "", json!([]); "assignment_show")]
#[test_case(&["assignment", "where", "meadow 17"], "/key", json!("meadow 17"); "assignment_where")]
#[test_case(&["status"], "/members/0/report/config_version", json!(1); "status")]
#[test_case(&["explain", "known/1"], "/reason", json!("All slots were taken."); "explain")]
fn report_is_given(args: &[&str], pointer: &str, expected: Value) {
    let daemon = Daemon::start();
    daemon.apply();
    let (exit, value) = daemon.run_json(args);
    assert_eq!(
        (exit, value.pointer(pointer)),
        (0, Some(&expected)),
        "{value}"
    );
    let table = daemon.run(args);
    assert_eq!(code(&table), 0);
    assert!(!table.stdout.is_empty());
}

/// Each outcome of a change must give the documented exit code and its own name in JSON.
#[test]
fn exit_code_and_json_report_the_outcome() {
    let daemon = Daemon::start();
    let outcome = |args: &[&str]| {
        let (exit, value) = daemon.run_json(args);
        (
            exit,
            value["outcome"].as_str().unwrap_or_default().to_owned(),
        )
    };
    let expect = |args: &[&str], exit: i32, name: &str| {
        assert_eq!(outcome(args), (exit, name.to_owned()), "{args:?}");
    };
    expect(&["preset", "use", "peak"], 1, "refused");
    daemon.apply();
    expect(&["config", "apply", EXAMPLE], 0, "unchanged");
    expect(
        &["preset", "use", "peak", "--if-version", "1"],
        0,
        "committed",
    );
    expect(
        &["preset", "use", "maintenance", "--if-version", "1"],
        3,
        "conflict",
    );
    expect(&["preset", "use", "siesta"], 1, "refused");
    expect(
        &["target", "drain", "rounds-1", "--reason", "repair"],
        0,
        "committed",
    );
    expect(&["target", "undrain", "rounds-9"], 1, "refused");
    daemon.store.set_down(true);
    expect(&["preset", "use", "ordinary"], 1, "unavailable");
    daemon.store.set_down(false);
    daemon.store.fail_next_commit(CommitFault::LoseResponse);
    expect(&["preset", "use", "ordinary"], 0, "committed");
    assert_eq!(daemon.run_json(&["explain", "x"]).0, 1);
    // An operator port is no status address.
    let route = ["explain-route", "--host", "h", "--path", "/x"];
    assert_eq!(daemon.run_json(&route).0, 1);
}

/// An unreachable daemon must not fail a command while another server of the list is reachable.
#[test]
fn servers_are_tried_in_turn() {
    let daemon = Daemon::start();
    daemon.apply();
    let servers = format!("127.0.0.1:1,{}", daemon.addr);
    let output = tool(&[
        "--server",
        &servers,
        "--operator",
        "reto",
        "preset",
        "use",
        "peak",
    ]);
    assert_eq!(code(&output), 0, "{output:?}");
}
