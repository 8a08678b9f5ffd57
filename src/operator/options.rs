//! Options of the operator's tool.

use clap::{Args, Parser, Subcommand};
use std::{net::SocketAddr, path::PathBuf};

/// Shown below the help of the tool.
const AFTER_HELP: &str = "\
Exit codes:
  0  done, or already as asked for
  1  refused; nothing was changed
  2  wrong usage
  3  conflict: somebody else changed the configuration first; nothing was changed
  4  no daemon could be reached, or it could not answer
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
  fireflygauge status --json";

/// Operates a fireflygauge deployment through the operator port of any daemon.
#[derive(Clone, Debug, Parser)]
#[command(name = "fireflygauge", version, about, after_help = AFTER_HELP)]
pub struct Options {
    /// Operator address of a daemon; several are tried in turn.
    #[arg(
        long,
        env = "FIREFLYGAUGE_SERVER",
        value_name = "ADDR",
        value_delimiter = ',',
        global = true
    )]
    pub server: Vec<SocketAddr>,
    /// Your name, which the audit record of a change keeps.
    #[arg(
        long,
        env = "FIREFLYGAUGE_OPERATOR",
        value_name = "NAME",
        global = true
    )]
    pub operator: Option<String>,
    /// Prints JSON in place of tables.
    #[arg(long, global = true)]
    pub json: bool,
    /// What to do.
    #[command(subcommand)]
    pub command: Command,
}

/// What to do.
#[derive(Clone, Debug, Subcommand)]
pub enum Command {
    /// Declarations: services and presets.
    #[command(subcommand)]
    Config(ConfigCommand),
    /// Presets; exactly one is in force.
    #[command(subcommand)]
    Preset(PresetCommand),
    /// Targets, and emptying them.
    #[command(subcommand)]
    Target(TargetCommand),
    /// Which target owns which partition.
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
}

/// Commands on declarations.
#[derive(Clone, Debug, Subcommand)]
pub enum ConfigCommand {
    /// Checks a declaration without asking a daemon.
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
        /// Options of every change.
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
        /// Options of every change.
        #[command(flatten)]
        change: ChangeArgs,
    },
}

/// Commands on targets.
#[derive(Clone, Debug, Subcommand)]
pub enum TargetCommand {
    /// Lists the targets.
    List,
    /// Asks for a target to be emptied, for a repair or an upgrade.
    Drain {
        /// The target.
        name: String,
        /// Options of every change.
        #[command(flatten)]
        change: ChangeArgs,
    },
    /// Lets a drained target take work again.
    Undrain {
        /// The target.
        name: String,
        /// Options of every change.
        #[command(flatten)]
        change: ChangeArgs,
    },
}

/// Commands on assignments.
#[derive(Clone, Debug, Subcommand)]
pub enum AssignmentCommand {
    /// Shows how many partitions each target owns.
    Show,
    /// Shows where a key belongs.
    Where {
        /// The key.
        key: String,
        /// The service; needed only if several are divided by key.
        #[arg(long)]
        service: Option<String>,
    },
}

/// Options of every change.
#[derive(Clone, Debug, Args)]
pub struct ChangeArgs {
    /// Makes the change only if this version is in force (0 for none). Without it, the version is
    /// read right before the change.
    #[arg(long, value_name = "VERSION")]
    pub if_version: Option<u64>,
    /// Why, for the audit record.
    #[arg(long, value_name = "TEXT")]
    pub reason: Option<String>,
    /// Waits until all live daemons have the change in force, for at most so many seconds.
    #[arg(long, value_name = "SECONDS", num_args = 0..=1, default_missing_value = "30")]
    pub wait: Option<u64>,
}

/// Which records to show.
#[derive(Clone, Debug, Args)]
pub struct HistoryArgs {
    /// Number of records (1 to 200).
    #[arg(long, default_value_t = 20, value_parser = clap::value_parser!(u64).range(1..=200))]
    pub limit: u64,
    /// Shows records before this version.
    #[arg(long, value_name = "VERSION")]
    pub before: Option<u64>,
}
