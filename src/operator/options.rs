//! Command-line options of the operator's tool.

use clap::{Args, Parser, Subcommand};
use std::{net::SocketAddr, path::PathBuf};

/// Text below the tool's `--help`.
const AFTER_HELP: &str = "\
Exit codes:
  0  success, or nothing to change
  1  refused; nothing was changed
  2  invalid usage
  3  conflict: another operator changed the configuration first; nothing was changed
  4  no daemon could be reached, or none could respond
  5  the outcome is unknown, or a change was not confirmed by all daemons in time

Examples:
  export FIREFLYGAUGE_SERVER=10.0.1.5:9100,10.0.2.5:9100
  export FIREFLYGAUGE_OPERATOR=\"Anna Keller\"
  fireflygauge config check mittelland.toml
  fireflygauge config diff mittelland.toml
  fireflygauge config apply mittelland.toml --if-version 7 --wait
  fireflygauge preset use peak --reason \"harvest week\"
  fireflygauge target drain rounds-4
  fireflygauge assignment where meadow-17
  fireflygauge status --json
  fireflygauge explain-route --server 10.0.1.5:9101 --host shop --path /parts/77 --key 4711";

/// Operates a fireflygauge deployment through the operator port of any daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "fireflygauge", version, about, after_help = AFTER_HELP)]
pub struct Options {
    /// Operator addresses of daemons, separated by commas; they are tried in turn.
    #[arg(
        long,
        env = "FIREFLYGAUGE_SERVER",
        value_name = "ADDR",
        value_delimiter = ',',
        global = true
    )]
    pub server: Vec<SocketAddr>,
    /// Your name, recorded in the audit record of a change.
    #[arg(
        long,
        env = "FIREFLYGAUGE_OPERATOR",
        value_name = "NAME",
        global = true
    )]
    pub operator: Option<String>,
    /// Prints JSON instead of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// The command to run.
    #[command(subcommand)]
    pub command: Command,
}

/// The command to run.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Checks, compares, applies and shows declarations.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Lists presets and selects the one in force.
    #[command(subcommand)]
    Preset(PresetCommand),
    /// Lists, drains and undrains targets.
    #[command(subcommand)]
    Target(TargetCommand),
    /// Shows which target owns which partition or key.
    #[command(subcommand)]
    Assignment(AssignmentCommand),
    /// Shows the daemons and the configuration version that each has in force.
    Status,
    /// Shows who changed the configuration, when and why.
    Audit(HistoryArgs),
    /// Explains the reference of a refused request.
    Explain {
        /// The reference, as the caller quotes it.
        reference: String,
    },
    /// Explains where a request would go now, and why, without sending it. Asks the status address of a
    /// daemon that routes by key ranges (`fireflygauge-platform`).
    ExplainRoute(RouteArgs),
}

/// The request to explain.
#[derive(Clone, Debug, Args)]
pub struct RouteArgs {
    /// Host of the request.
    #[arg(long)]
    pub host: String,
    /// Path of the request.
    #[arg(long)]
    pub path: String,
    /// Method of the request.
    #[arg(long, default_value = "GET")]
    pub method: String,
    /// Key of the request, for services that are divided by key.
    #[arg(long)]
    pub key: Option<String>,
    /// Length of the body, in bytes.
    #[arg(long, value_name = "N", default_value_t = 0)]
    pub body_bytes: u64,
    /// Time limit that the caller states; the route's time-out without it.
    #[arg(long, value_name = "MS")]
    pub deadline_ms: Option<u64>,
    /// The service of the route's split to explain; the one that the next request goes to without it.
    #[arg(long)]
    pub service: Option<String>,
    /// Asks all daemons of the list, not the first that answers.
    #[arg(long)]
    pub all: bool,
}

/// Commands on declarations.
#[derive(Clone, Debug, Subcommand)]
pub enum ConfigCommand {
    /// Validates a declaration locally, without a daemon.
    Check {
        /// The declaration.
        file: PathBuf,
    },
    /// Shows what applying a declaration would change.
    Diff {
        /// The declaration.
        file: PathBuf,
        /// A declaration to compare with, in place of the one in force.
        #[arg(long, value_name = "FILE")]
        from: Option<PathBuf>,
    },
    /// Applies a declaration.
    Apply {
        /// The declaration.
        file: PathBuf,
        /// Options common to all changes.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Shows the declaration in force.
    Show,
    /// Shows the latest versions of the configuration.
    History(HistoryArgs),
}

/// Commands on presets.
#[derive(Clone, Debug, Subcommand)]
pub enum PresetCommand {
    /// Lists the presets and marks the one in force.
    List,
    /// Puts a preset in force.
    Use {
        /// The preset.
        name: String,
        /// Options common to all changes.
        #[command(flatten)]
        change: ChangeArgs,
    },
}

/// Commands on targets.
#[derive(Clone, Debug, Subcommand)]
pub enum TargetCommand {
    /// Lists the targets.
    List,
    /// Drains a target, for example before a repair or an upgrade.
    Drain {
        /// The target.
        name: String,
        /// Options common to all changes.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Makes a drained target eligible for work again.
    Undrain {
        /// The target.
        name: String,
        /// Options common to all changes.
        #[command(flatten)]
        change: ChangeArgs,
    },
}

/// Commands on assignments.
#[derive(Clone, Debug, Subcommand)]
pub enum AssignmentCommand {
    /// Shows how many partitions each target owns.
    Show,
    /// Shows the partition and owner of a key.
    Where {
        /// The key.
        key: String,
        /// The service; needed only if several services are keyed.
        #[arg(long)]
        service: Option<String>,
    },
}

/// Options common to all changes.
#[derive(Clone, Debug, Args)]
pub struct ChangeArgs {
    /// Makes the change only if this version is in force (0 for none). Without it, the version is
    /// read right before the change.
    #[arg(long, value_name = "VERSION")]
    pub if_version: Option<u64>,
    /// Reason for the change, for the audit record.
    #[arg(long, value_name = "TEXT")]
    pub reason: Option<String>,
    /// Waits until the change is in force on all live daemons, for at most this many seconds.
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "30")]
    pub wait: Option<u64>,
}

/// Which records to show.
#[derive(Clone, Debug, Args)]
pub struct HistoryArgs {
    /// Number of records (1 to 200).
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=200))]
    pub limit: u64,
    /// Shows only versions below this one.
    #[arg(long, value_name = "VERSION")]
    pub before: Option<u64>,
}
