//! One process of a deployment.

use super::wait_for;
use nix::{
    sys::signal::{Signal, kill},
    unistd::Pid,
};
use std::{
    ffi::OsStr,
    fs::{File, OpenOptions},
    io,
    net::SocketAddr,
    path::{Path, PathBuf},
    process::{Command, ExitStatus, Stdio},
    time::Duration,
};

/// A process that is killed and reaped when dropped.
#[derive(Debug)]
pub struct Child {
    process: std::process::Child,
    output: PathBuf,
    exited: Option<ExitStatus>,
    killed: bool,
}

impl Child {
    /// Starts one of this workspace's binaries. Its standard output and error go to
    /// `{name}.out` and `{name}.log` in `dir`; a restarted process truncates its output and
    /// appends to the log.
    ///
    /// # Errors
    /// The system's error if the process cannot be started.
    pub fn start<A: AsRef<OsStr>>(
        binary: &str,
        args: &[A],
        dir: &Path,
        name: &str,
    ) -> io::Result<Self> {
        let output = dir.join(format!("{name}.out"));
        let log = dir.join(format!("{name}.log"));
        let log = OpenOptions::new().create(true).append(true).open(log)?;
        let process = Command::new(binary_path(binary)?)
            .args(args)
            .stdin(Stdio::null())
            .stdout(File::create(&output)?)
            .stderr(log)
            .spawn()?;
        Ok(Self {
            process,
            output,
            exited: None,
            killed: false,
        })
    }

    /// Waits for the address that a stand-in prints.
    ///
    /// # Panics
    /// If it prints none in time.
    pub async fn printed_addr(&self) -> SocketAddr {
        let read = || {
            let text = std::fs::read_to_string(&self.output).ok();
            let addr = text.and_then(|t| t.strip_suffix('\n')?.parse().ok());
            std::future::ready(addr)
        };
        wait_for("the address of a process", super::START_TIMEOUT, read).await
    }

    /// Process id.
    pub fn id(&self) -> u32 {
        self.process.id()
    }

    /// Suspends the process with SIGSTOP.
    pub fn suspend(&self) {
        self.signal(Signal::SIGSTOP);
    }

    /// Resumes a suspended process.
    pub fn resume(&self) {
        self.signal(Signal::SIGCONT);
    }

    /// Sends SIGTERM.
    pub fn terminate(&self) {
        self.signal(Signal::SIGTERM);
    }

    /// Kills the process and reaps it.
    pub fn kill(&mut self) {
        self.killed = true;
        // Both fail only if the process has been reaped already.
        let _ = self.process.kill();
        self.exited = self.process.wait().ok();
    }

    /// The exit status if the process has ended.
    pub fn status(&mut self) -> Option<ExitStatus> {
        if self.exited.is_none() {
            self.exited = self.process.try_wait().ok().flatten();
        }
        self.exited
    }

    /// Whether the process ended without having been killed by its owner.
    pub fn crashed(&mut self) -> bool {
        !self.killed && self.status().is_some()
    }

    /// Waits until the process has ended.
    ///
    /// # Panics
    /// If it has not within `limit`.
    pub async fn ended(&mut self, limit: Duration) -> ExitStatus {
        wait_for("the end of a process", limit, || {
            std::future::ready(self.status())
        })
        .await
    }

    fn signal(&self, signal: Signal) {
        if self.exited.is_none() {
            let id = Pid::from_raw(self.process.id() as i32);
            kill(id, signal).expect("an unreaped child can be signalled");
        }
    }
}

impl Drop for Child {
    fn drop(&mut self) {
        self.kill();
    }
}

/// The binary beside the running test, example or binary.
fn binary_path(name: &str) -> io::Result<PathBuf> {
    let exe = std::env::current_exe()?;
    let found = exe
        .ancestors()
        .skip(1)
        .take(2)
        .map(|dir| dir.join(name))
        .find(|path| path.is_file());
    found.ok_or_else(|| {
        let message = format!("{name} is not built; run cargo build --workspace --bins");
        io::Error::new(io::ErrorKind::NotFound, message)
    })
}
