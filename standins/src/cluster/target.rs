//! A target process behind its link.

use super::{TempDir, child::Child};
use crate::{
    proxy::ProxyLink,
    target::{CONTROL_PATH, Control, TargetOptions},
};
use bytes::Bytes;
use fireflygauge::{
    http_client::HttpClient,
    target_api::{HEALTH_PATH, HealthReport},
    world::{ServiceName, Vm, VmName, VmState},
};
use http::Method;
use std::{
    io,
    net::{IpAddr, SocketAddr},
    path::{Path, PathBuf},
    time::Duration,
};

/// Time for a target to answer a control or health request.
const CONTROL_TIMEOUT: Duration = Duration::from_secs(5);

/// A target process behind its link.
#[derive(Debug)]
pub struct Target {
    /// The process.
    pub child: Child,
    /// The link that everyone reaches it through.
    pub link: ProxyLink,
    options: TargetOptions,
    history: PathBuf,
    flags: Vec<String>,
    dir: PathBuf,
}

impl Target {
    pub(super) async fn start(
        name: &str,
        service: &str,
        zone: &str,
        flags: &[String],
        ip: IpAddr,
        dir: &TempDir,
    ) -> io::Result<Self> {
        let mut options = TargetOptions::new(name, zone, service, service == super::KEYED);
        let history = dir.path().join(format!("{name}.history"));
        options.addr = SocketAddr::new(ip, 0);
        let child = spawn(&options, &history, flags, dir.path())?;
        options.addr = child.printed_addr().await;
        let link = ProxyLink::start(SocketAddr::new(ip, 0), options.addr).await?;
        Ok(Self {
            child,
            link,
            options,
            history,
            flags: flags.to_vec(),
            dir: dir.path().to_owned(),
        })
    }

    /// Kills the process if it runs and starts it again under its old address.
    ///
    /// # Errors
    /// The system's error if it cannot be started.
    pub async fn restart(&mut self) -> io::Result<()> {
        self.child.kill();
        self.child = spawn(&self.options, &self.history, &self.flags, &self.dir)?;
        self.child.printed_addr().await;
        Ok(())
    }

    /// Its name in the platform's list.
    pub fn name(&self) -> &VmName {
        &self.options.name
    }

    /// The service that it is an endpoint of.
    pub fn service(&self) -> &ServiceName {
        &self.options.service
    }

    /// The VM under which it is listed, reached through its link.
    pub fn vm(&self) -> Vm {
        self.options.vm(self.link.addr())
    }

    /// The same VM, about to be stopped.
    pub fn leaving_vm(&self) -> Vm {
        Vm {
            state: VmState::Leaving,
            ..self.vm()
        }
    }

    /// Replaces its controls, bypassing its link.
    ///
    /// # Panics
    /// If it does not accept them.
    pub async fn set_control(&self, control: &Control) {
        let body = serde_json::to_vec(control).expect("controls are valid JSON");
        let client = HttpClient::new();
        let addr = self.options.addr;
        let sent = client.send(Method::POST, addr, CONTROL_PATH, body, CONTROL_TIMEOUT);
        let (status, _) = sent.await.expect("the target answers");
        assert!(status.is_success(), "the target refused its controls");
    }

    /// Its health report, bypassing its link.
    ///
    /// # Panics
    /// If it does not answer.
    pub async fn health(&self) -> HealthReport {
        let client = HttpClient::new();
        let addr = self.options.addr;
        let sent = client.send(
            Method::GET,
            addr,
            HEALTH_PATH,
            Bytes::new(),
            CONTROL_TIMEOUT,
        );
        let (_, body) = sent.await.expect("the target answers");
        serde_json::from_slice(&body).expect("the answer is a health report")
    }

    pub(super) fn history(&self) -> &Path {
        &self.history
    }
}

fn spawn(
    options: &TargetOptions,
    history: &Path,
    flags: &[String],
    dir: &Path,
) -> io::Result<Child> {
    let mut args: Vec<String> = vec![
        format!("--addr={}", options.addr),
        format!("--name={}", options.name),
        format!("--zone={}", options.zone),
        format!("--service={}", options.service),
        format!("--checks-grants={}", options.checks_grants),
        format!("--history={}", history.display()),
    ];
    args.extend_from_slice(flags);
    Child::start("standin-target", &args, dir, &options.name.0)
}
