//! Runs the commands of the operator's tool.

use super::{
    client::{ClientError, OperatorClient},
    exit::Exit,
    options::{
        AssignmentCommand, ChangeArgs, Command, ConfigCommand, HistoryArgs, Options, PresetCommand,
        TargetCommand,
    },
    output::{self, Output},
    report::{AssignmentReport, ConfigReport, KeyReport, PresetReport, Status, TargetReport},
    route,
};
use crate::{
    audit::AuditRecord,
    config::{Change, ChangeOutcome, ChangeRequest},
    declaration::{Declaration, difference},
    membership::MemberState,
    uri,
};
use http::StatusCode;
use serde_json::{Value, json};
use std::{
    fs,
    net::SocketAddr,
    path::Path,
    time::{Duration, Instant},
};
use tokio::time::sleep;

/// Poll interval while waiting for a change to be in force on all daemons.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

/// Why a command failed: the exit code and the reason to print.
#[derive(Debug)]
struct Failure(Exit, String);

impl From<ClientError> for Failure {
    fn from(e: ClientError) -> Self {
        let exit = match e {
            ClientError::Unreachable(_) => Exit::Unreachable,
            ClientError::Rejected(..) => Exit::Refused,
            ClientError::Unknown(..) => Exit::Unknown,
        };
        Self(exit, e.to_string())
    }
}

/// Runs the command of `options` and prints its result.
pub async fn run(options: Options) -> Exit {
    let output = Output::new(options.json);
    let result = match &options.command {
        Command::Config(ConfigCommand::Check { file }) => check(file, &output),
        Command::Config(ConfigCommand::Diff {
            file,
            from: Some(from),
        }) => diff_files(from, file, &output),
        _ if options.server.is_empty() => Err(Failure(
            Exit::Usage,
            "no server: use --server ADDR or set FIREFLYGAUGE_SERVER".into(),
        )),
        _ => {
            let session = Session {
                client: OperatorClient::new(options.server.clone()),
                operator: options.operator.clone(),
                output,
            };
            session.run(options.command).await
        }
    };
    result.unwrap_or_else(|Failure(exit, reason)| {
        output.failure(exit, &reason);
        exit
    })
}

fn read(file: &Path) -> Result<String, Failure> {
    fs::read_to_string(file).map_err(|e| {
        Failure(
            Exit::Usage,
            format!("{} cannot be read: {e}", file.display()),
        )
    })
}

fn parse(file: &Path) -> Result<(String, Declaration), Failure> {
    let text = read(file)?;
    let declaration = Declaration::parse(&text)
        .map_err(|e| Failure(Exit::Refused, format!("{}: {e}", file.display())))?;
    Ok((text, declaration))
}

fn check(file: &Path, output: &Output) -> Result<Exit, Failure> {
    let (_, declaration) = parse(file)?;
    let valid = json!({
        "valid": true,
        "services": declaration.services.len(),
        "presets": declaration.presets.len(),
    });
    output.print(&valid, || {
        format!(
            "{} is valid: {} services, {} presets.",
            file.display(),
            declaration.services.len(),
            declaration.presets.len()
        )
    });
    Ok(Exit::Done)
}

fn diff_files(from: &Path, file: &Path, output: &Output) -> Result<Exit, Failure> {
    let (_, from) = parse(from)?;
    let (_, to) = parse(file)?;
    let changes = difference(Some(&from), &to);
    output.print(&changes, || output::changes(&changes));
    Ok(Exit::Done)
}

/// A command that needs a daemon.
struct Session {
    client: OperatorClient,
    operator: Option<String>,
    output: Output,
}

impl Session {
    async fn run(&self, command: Command) -> Result<Exit, Failure> {
        match command {
            Command::Config(command) => self.config(command).await,
            Command::Preset(PresetCommand::List) => self.presets().await,
            Command::Preset(PresetCommand::Use { name, change }) => {
                let preset = name.into();
                self.change(Change::UsePreset { preset }, change).await
            }
            Command::Target(TargetCommand::List) => self.targets().await,
            Command::Target(TargetCommand::Drain { name, change }) => {
                let target = name.as_str().into();
                self.change(Change::Drain { target }, change).await
            }
            Command::Target(TargetCommand::Undrain { name, change }) => {
                let target = name.as_str().into();
                self.change(Change::Undrain { target }, change).await
            }
            Command::Assignment(AssignmentCommand::Show) => self.assignment().await,
            Command::Assignment(AssignmentCommand::Where { key, service }) => {
                self.locate(&key, service.as_deref()).await
            }
            Command::Status => self.status().await,
            Command::Audit(args) => self.history(args).await,
            Command::Explain { reference } => self.explain(&reference).await,
            Command::ExplainRoute(args) => {
                let answers = route::ask(&self.client, &args).await?;
                let text = || route::text(&answers);
                self.output.print(&answers, text);
                Ok(Exit::Done)
            }
        }
    }

    async fn config(&self, command: ConfigCommand) -> Result<Exit, Failure> {
        match command {
            ConfigCommand::Check { file } => check(&file, &self.output),
            ConfigCommand::Diff { file, .. } => self.diff(&file).await,
            ConfigCommand::Apply { file, change } => {
                let (text, _) = parse(&file)?;
                let body = text.into();
                self.change(Change::Apply { body }, change).await
            }
            ConfigCommand::Show => {
                let report: ConfigReport = self.client.get("/config").await?;
                self.output.print(&report, || output::config(&report));
                Ok(Exit::Done)
            }
            ConfigCommand::History(args) => self.history(args).await,
        }
    }

    /// The configuration in force; `None` if there is none yet.
    async fn in_force(&self) -> Result<Option<ConfigReport>, Failure> {
        match self.client.get("/config").await {
            Ok(config) => Ok(Some(config)),
            Err(ClientError::Rejected(StatusCode::NOT_FOUND, _)) => Ok(None),
            Err(e) => Err(e.into()),
        }
    }

    async fn diff(&self, file: &Path) -> Result<Exit, Failure> {
        let (_, to) = parse(file)?;
        let in_force = self.in_force().await?;
        let from = in_force
            .as_ref()
            .map(|config| Declaration::parse(&config.body))
            .transpose()
            .map_err(|e| Failure(Exit::Refused, format!("the declaration in force: {e}")))?;
        let version = in_force.map_or(0, |config| config.head.version);
        let changes = difference(from.as_ref(), &to);
        let report = json!({ "version": version, "changes": changes });
        self.output.print(&report, || {
            format!(
                "Compared with version {version}:\n{}",
                output::changes(&changes)
            )
        });
        Ok(Exit::Done)
    }

    async fn change(&self, change: Change, args: ChangeArgs) -> Result<Exit, Failure> {
        let operator = self.operator.as_deref().ok_or_else(|| {
            let reason = "no operator name: use --operator NAME or set FIREFLYGAUGE_OPERATOR";
            Failure(Exit::Usage, reason.into())
        })?;
        let seen_version = match args.if_version {
            Some(version) => version,
            None => {
                let config = self.in_force().await?;
                config.map_or(0, |config| config.head.version)
            }
        };
        let request = ChangeRequest {
            seen_version,
            by: operator.into(),
            reason: args.reason.map(Into::into),
            change,
        };
        let outcome = self.client.change(&request).await?;
        self.output.print(&outcome, || output::outcome(&outcome));
        let (exit, version) = match &outcome {
            ChangeOutcome::Committed { head } => (Exit::Done, Some(head.version)),
            ChangeOutcome::Unchanged { version } => (Exit::Done, Some(*version)),
            ChangeOutcome::Refused { .. } | ChangeOutcome::Unavailable { .. } => {
                (Exit::Refused, None)
            }
            ChangeOutcome::Conflict { .. } => (Exit::Conflict, None),
            ChangeOutcome::Unknown { .. } => (Exit::Unknown, None),
        };
        match (version, args.wait) {
            (Some(version), Some(seconds)) => self.wait_until_in_force(version, seconds).await,
            _ => Ok(exit),
        }
    }

    /// Polls until `version` is in force on all live daemons, for at most `seconds`.
    async fn wait_until_in_force(&self, version: u64, seconds: u64) -> Result<Exit, Failure> {
        let end = Instant::now() + Duration::from_secs(seconds);
        loop {
            let status: Result<Status, _> = self.client.get("/status").await;
            let behind = match status {
                Ok(status) => unconfirmed_daemons(&status, version),
                Err(e) => vec![e.to_string()],
            };
            if behind.is_empty() {
                self.output.note(&format!(
                    "Version {version} is in force on all live daemons."
                ));
                return Ok(Exit::Done);
            }
            if Instant::now() >= end {
                let reason = format!(
                    "version {version} is committed, but not confirmed within {seconds} s by: {}",
                    behind.join(", ")
                );
                return Err(Failure(Exit::Unknown, reason));
            }
            sleep(POLL_INTERVAL).await;
        }
    }

    async fn presets(&self) -> Result<Exit, Failure> {
        let report: PresetReport = self.client.get("/presets").await?;
        self.output.print(&report, || output::presets(&report));
        Ok(Exit::Done)
    }

    async fn targets(&self) -> Result<Exit, Failure> {
        let report: Vec<TargetReport> = self.client.get("/targets").await?;
        self.output.print(&report, || output::targets(&report));
        Ok(Exit::Done)
    }

    async fn assignment(&self) -> Result<Exit, Failure> {
        let report: Vec<AssignmentReport> = self.client.get("/assignment").await?;
        self.output.print(&report, || output::assignment(&report));
        Ok(Exit::Done)
    }

    async fn locate(&self, key: &str, service: Option<&str>) -> Result<Exit, Failure> {
        let mut query = vec![("key", key)];
        query.extend(service.map(|service| ("service", service)));
        let path = uri::with_query("/assignment/where", &query);
        let report: KeyReport = self.client.get(&path).await?;
        self.output.print(&report, || output::key(&report));
        Ok(Exit::Done)
    }

    async fn status(&self) -> Result<Exit, Failure> {
        let report: Status = self.client.get("/status").await?;
        self.output.print(&report, || output::status(&report));
        Ok(Exit::Done)
    }

    async fn history(&self, args: HistoryArgs) -> Result<Exit, Failure> {
        let (limit, before) = (args.limit.to_string(), args.before.map(|n| n.to_string()));
        let mut query = vec![("limit", &*limit)];
        query.extend(before.as_deref().map(|before| ("before", before)));
        let path = uri::with_query("/config/history", &query);
        let records: Vec<AuditRecord> = self.client.get(&path).await?;
        self.output.print(&records, || output::records(&records));
        Ok(Exit::Done)
    }

    async fn explain(&self, reference: &str) -> Result<Exit, Failure> {
        let path = format!("/explain/{}", uri::escape(reference));
        let mut explanation: Value = self.client.get(&path).await?;
        // Only the daemon that refused the request keeps its details, and only for a limited time.
        if let Some(daemon) = details_at(&explanation)
            && let Ok(details) = self.client.at(daemon).get(&path).await
        {
            explanation = details;
        }
        self.output
            .print(&explanation, || output::value(&explanation));
        Ok(Exit::Done)
    }
}

/// Operator address of the daemon that issued an explained reference.
fn details_at(explanation: &Value) -> Option<SocketAddr> {
    explanation.get("details_at")?.as_str()?.parse().ok()
}

/// Names of the live daemons that have not confirmed that `version` is in force.
fn unconfirmed_daemons(status: &Status, version: u64) -> Vec<String> {
    let live = status
        .members
        .iter()
        .filter(|m| m.state == MemberState::Live);
    live.filter(|m| !m.confirmed || m.report.config_version < version)
        .map(|m| m.report.link.name.to_string())
        .collect()
}
