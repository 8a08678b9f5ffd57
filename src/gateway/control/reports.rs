//! Reports between daemons: what each counted, and the owners that it learns in return.

use super::{Control, Input, Parked, Reporting};
use crate::{
    clock::Millis,
    gateway::{
        controller::Event,
        heat::{HeatReport, ServiceHeat, WorkTime},
        owners::Owners,
        platform::Platform,
    },
    peer::{
        codec::{self, CodecError},
        message::{
            DaemonReport, EndpointsUpdate, OwnersUpdate, PeerReply, PeerRequest, ReportReply,
        },
    },
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::oneshot;

/// Time between reports to the controller.
const REPORT_EVERY: Millis = Millis(400);
/// Time for which the controller holds its answer to a report until owners change. So changes
/// reach all daemons at once without a call to the store for each.
const HELD_REPORT: Millis = Millis(400);
/// Time to wait for the controller's answer to a report.
const REPORT_TIMEOUT: Duration = Duration::from_millis(800);
/// Time after its last report for which a daemon counts.
const DAEMON_AGE: Millis = Millis(3_000);

impl<P: Platform> Control<P> {
    /// Reports what was counted to the controller.
    pub(super) fn report(&mut self, now: Millis) {
        if self.report_sent.is_some() || now.since(self.reported) < REPORT_EVERY {
            return;
        }
        self.reported = now;
        let report = DaemonReport {
            name: self.cx.name.clone(),
            run: self.cx.run,
            peer_addr: self.cx.peer_addr,
            owners: self.builder.owner_versions(),
            endpoints: self.registry.version(),
            paces: self.paces_known,
            heat: self.take_heat(),
        };
        let term = self.controller.term();
        if term.is_mine() {
            self.count(&report, now);
            self.set_daemons(now);
            return;
        }
        let Some(addr) = term
            .row()
            .filter(|row| !row.released)
            .map(|row| row.peer_addr)
        else {
            return;
        };
        if addr == self.cx.peer_addr {
            return;
        }
        self.report_sent = Some(now);
        let (peers, tx) = (self.peers.clone(), self.tx.clone());
        tokio::spawn(async move {
            let request = PeerRequest::Report(report);
            let answer = match peers.send(addr, &request, REPORT_TIMEOUT).await {
                Ok(PeerReply::Report(answer)) => Some(answer),
                Ok(_) => None,
                Err(e) => {
                    log::debug!(target: "peer", to:% = addr, error:% = e; "Report not answered.");
                    None
                }
            };
            // The receiver is gone only when the daemon stops.
            let _ = tx.send(Input::Answer(answer)).await;
        });
    }

    fn take_heat(&self) -> HeatReport {
        let view = self.cx.view.load();
        let keyed = view.services.values().filter(|service| service.keyed);
        let services = keyed.map(|service| ServiceHeat {
            service: service.name.clone(),
            keys: service.state.take_heat(),
            work: service
                .members
                .iter()
                .filter_map(|member| {
                    let (requests, total_ms) = member.backend.take_work();
                    let endpoint = Arc::clone(&member.backend.entry.instance.name);
                    (requests > 0).then_some(WorkTime {
                        endpoint,
                        requests,
                        total_ms,
                    })
                })
                .collect(),
        });
        let services = services.collect();
        let members = view.services.values().flat_map(|service| &service.members);
        HeatReport {
            services,
            paces: members
                .filter_map(|member| member.backend.take_pace())
                .collect(),
        }
    }

    /// Takes in the report of a daemon.
    fn count(&mut self, report: &DaemonReport, now: Millis) {
        let reporting = Reporting {
            at: now,
            run: report.run,
            peer_addr: report.peer_addr,
        };
        let before = self.daemons.insert(report.name.clone(), reporting);
        let replaced = before.filter(|before| before.run != report.run);
        if let Some(run) = replaced.map(|before| before.run) {
            self.controller.handle(Event::RunEnded(run), now);
        }
        let former = self.controller.former_run_of(&report.name, report.run);
        if let Some(run) = former {
            self.controller.handle(Event::RunEnded(run), now);
        }
        for heat in &report.heat.services {
            let map = self.heat.entry(heat.service.clone()).or_default();
            map.add(heat, now);
        }
        self.paces.add(&report.heat.paces);
    }

    fn set_daemons(&mut self, now: Millis) {
        self.daemons
            .retain(|_, daemon| now.since(daemon.at) < DAEMON_AGE);
        let daemons = self.daemons.len().max(1);
        self.cx.daemons.store(daemons, Ordering::Relaxed);
    }

    /// Answers the report of another daemon.
    pub(super) fn answer(&mut self, report: DaemonReport, reply: oneshot::Sender<ReportReply>) {
        let now = self.cx.clock.now();
        self.count(&report, now);
        self.parked.push(Parked {
            report,
            reply,
            received: now,
            until: now + HELD_REPORT,
        });
    }

    /// Answers reports that were held long enough, or whose daemons do not know the newest owners.
    pub(super) fn answer_parked(&mut self, now: Millis) {
        let acts = self.controller.term().may_act(now);
        for parked in std::mem::take(&mut self.parked) {
            let is_due = !acts || now >= parked.until;
            let has_news = self.registry.has_changes_after(parked.report.endpoints)
                || self.owners.has_after(&parked.report.owners);
            if is_due || has_news {
                self.send_answer(parked, now);
            } else {
                self.parked.push(parked);
            }
        }
    }

    fn send_answer(&mut self, parked: Parked, now: Millis) {
        let term = self.controller.term();
        let lease = term.row().filter(|_| term.may_act(now));
        let owners = self.owners.after(&parked.report.owners);
        let answer = ReportReply {
            lease: lease.map(|row| (term.version(), row.clone())),
            daemons: self.daemons.len() as u32,
            owners,
            endpoints: lease.and_then(|_| self.endpoints_news(&parked, now)),
            declarations: self.declarations,
            paces: self.paces_news(parked.report.paces),
        };
        // The daemon that asked has gone if nobody takes the answer.
        let _ = parked.reply.send(answer);
    }

    fn endpoints_news(&self, parked: &Parked, now: Millis) -> Option<EndpointsUpdate> {
        (self.registry.version() > 0).then(|| EndpointsUpdate {
            changes: self.registry.changes_after(parked.report.endpoints),
            age: now.since(self.as_of),
            waited: now.since(parked.received),
            has_deferred_removals: self.builder.next_deferred_removal().is_some(),
        })
    }

    fn take_owners_news(&mut self, news: Vec<OwnersUpdate>) {
        let mut is_newer = false;
        for news in news {
            match self.owners_told(&news) {
                Ok(Some(owners)) => is_newer |= self.own(news.service, news.version, owners),
                Ok(None) => {
                    log::debug!(target: "peer", service:% = news.service, version = news.version,
                        base:? = news.base; "Change of other owners than the known ones.");
                }
                Err(e) => log::error!(target: "peer", error:% = e; "Owners of a peer unreadable."),
            }
        }
        if is_newer {
            self.publish();
        }
    }

    /// The owners that the controller tells; `None` if its change is not one of the known owners.
    fn owners_told(&self, news: &OwnersUpdate) -> Result<Option<Owners>, CodecError> {
        let Some(base) = news.base else {
            return Owners::decode(&news.row).map(Some);
        };
        match self.builder.owners_of(&news.service) {
            Some((version, known)) if version == base => {
                known.with(codec::decode(&news.row)?).map(Some)
            }
            _ => Ok(None),
        }
    }

    pub(super) fn take_answer(&mut self, answer: Option<ReportReply>) {
        let now = self.cx.clock.now();
        let sent = self.report_sent.take().unwrap_or(now);
        // The next report, which asks for further changes, follows at once.
        self.reported = Millis::ZERO;
        let Some(answer) = answer else {
            self.reported = now;
            self.answered = None;
            return;
        };
        self.take_owners_news(answer.owners);
        let Some((version, row)) = answer.lease else {
            self.reported = now;
            self.answered = None;
            return;
        };
        self.answered = Some(now);
        let is_behind = answer.declarations > self.declarations;
        self.behind_since = is_behind.then(|| self.behind_since.unwrap_or(now));
        self.take_paces(&answer.paces);
        if let Some(news) = answer.endpoints {
            // The answer was sent after the report had been held, and not before that.
            let as_of = sent + news.waited - news.age;
            let since = self.known_as_of();
            self.told_as_of = self.told_as_of.max(as_of);
            let version = news.changes.version;
            self.apply_endpoints(news.changes, since);
            // The store failed for this daemon alone, so the entries that vanished are gone.
            let is_complete = version >= self.registry.version();
            if is_complete && !news.has_deferred_removals && self.builder.apply_all_removals(now) {
                log::info!(target: "health", version; "Controller has no doubts; entries dropped.");
                self.tell_endpoints();
                self.publish();
            }
        }
        self.controller
            .handle(Event::Lease(version, Some(row)), now);
        let daemons = (answer.daemons as usize).max(1);
        self.cx.daemons.store(daemons, Ordering::Relaxed);
    }
}
