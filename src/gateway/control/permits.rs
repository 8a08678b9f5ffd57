//! Permits for requests to endpoints with a limit: asks the controller for them, and issues them
//! while this daemon is the controller.

use super::{Control, Input};
use crate::{
    clock::Millis,
    gateway::{
        model::EndpointInstance,
        platform::Platform,
        rate_limit::{PermitReply, PermitRequest},
    },
    peer::message::{PeerReply, PeerRequest},
    world::VmName,
};
use std::{
    sync::{Arc, atomic::Ordering},
    time::Duration,
};
use tokio::sync::oneshot;

/// Time-out of a request for permits. It exceeds the time for which the controller may hold it.
const PERMITS_TIMEOUT: Duration = Duration::from_millis(800);

/// Who gets the reply to a request for permits.
pub(super) enum PermitReceiver {
    /// This daemon, for an endpoint.
    Own(EndpointInstance),
    /// Another daemon.
    Other(oneshot::Sender<PermitReply>),
}

impl<P: Platform> Control<P> {
    /// Asks for the permits that requests wait for.
    pub(super) fn request_permits(&mut self, now: Millis) {
        let requests = self.builder.rate_limits().take_requests(now);
        if requests.is_empty() {
            return;
        }
        if self.issues_permits(now) {
            let name = self.cx.name.clone();
            for request in requests {
                if request.count > 0 {
                    let receiver = PermitReceiver::Own(request.limit.endpoint.clone());
                    self.handle_permit_request(&name, &request, receiver);
                }
            }
            return;
        }
        let addr = self.controller_addr();
        for request in requests {
            let life = request.limit.endpoint.clone();
            let Some(addr) = addr else {
                self.handle_permits(&life, None);
                continue;
            };
            let (peers, tx) = (self.peers.clone(), self.tx.clone());
            let is_ask = request.count > 0;
            let request = PeerRequest::Permits(self.cx.name.clone(), request);
            tokio::spawn(async move {
                let reply = match peers.send(addr, &request, PERMITS_TIMEOUT).await {
                    Ok(PeerReply::Permits(reply)) => Some(reply),
                    Ok(_) => None,
                    Err(e) => {
                        log::debug!(target: "peer", to:% = addr, error:% = e;
                            "Controller did not reply to the request for permits.");
                        None
                    }
                };
                if is_ask {
                    // Sending fails only when the daemon stops.
                    let _ = tx.send(Input::Permits(life, reply)).await;
                }
            });
        }
    }

    /// Handles a request for permits. It is dropped if this daemon is not the controller.
    pub(super) fn handle_permit_request(
        &mut self,
        daemon: &VmName,
        request: &PermitRequest,
        receiver: PermitReceiver,
    ) {
        let now = self.cx.clock.now();
        let limits = self.builder.rate_limits();
        limits.record_heard(std::slice::from_ref(&request.limit), Millis::ZERO, now);
        if !self.issues_permits(now) {
            return;
        }
        let life = &request.limit.endpoint;
        let limits = self.builder.rate_limits();
        let Some(rate) = limits.rate_of(life, now) else {
            // A limit that was named has ended, of which the daemon is told by the reply to its report.
            // Otherwise the life is cold by an entry that only the daemon has read yet.
            let is_named = request.limit.per_second.is_some();
            let reply = PermitReply {
                permits: if is_named { request.count } else { 0 },
                waited: Millis::ZERO,
                interval: Millis::ZERO,
            };
            self.deliver(receiver, reply);
            return;
        };
        if let Some(before) = limits.before_cold(life, now) {
            self.permits.prepare(life, rate, before, now);
        }
        let id = self.permits.ask(life, rate, daemon, request.count, now);
        self.held_permit_requests.insert(id, receiver);
    }

    /// Issues the permits that are due.
    pub(super) fn issue_permits(&mut self, now: Millis) {
        if !self.issues_permits(now) {
            self.permits.clear();
            // Dropping the channels tells the daemons that there are no permits here.
            let dropped = std::mem::take(&mut self.held_permit_requests);
            for receiver in dropped.into_values() {
                if let PermitReceiver::Own(life) = receiver {
                    self.handle_permits(&life, None);
                }
            }
            return;
        }
        for (life, rate) in self.builder.rate_limits().in_force(now) {
            self.permits.set_rate(&life, rate, now);
        }
        for (id, reply) in self.permits.step(now) {
            if let Some(receiver) = self.held_permit_requests.remove(&id) {
                self.deliver(receiver, reply);
            }
        }
    }

    fn deliver(&mut self, receiver: PermitReceiver, reply: PermitReply) {
        match receiver {
            PermitReceiver::Own(life) => self.handle_permits(&life, Some(reply)),
            // Sending fails if the asking daemon has closed the call.
            PermitReceiver::Other(tx) => drop(tx.send(reply)),
        }
    }

    /// Handles the reply to this daemon's request for permits; `None` if there was none.
    pub(super) fn handle_permits(&mut self, life: &EndpointInstance, reply: Option<PermitReply>) {
        let now = self.cx.clock.now();
        let limits = self.builder.rate_limits();
        match reply {
            Some(_) => limits.issuing().resume(),
            None => {
                let daemons = self.cx.daemons.load(Ordering::Relaxed);
                limits.issuing().suspend(daemons);
            }
        }
        limits.record_reply(life, reply, now);
        let permits = reply.map_or(0, |reply| reply.permits);
        let view = self.cx.view.load();
        let members = view.services.values().flat_map(|service| &service.members);
        let member = members
            .into_iter()
            .find(|member| member.backend.entry.instance == *life);
        if let Some(member) = member {
            let queue = Arc::clone(&member.backend.queue);
            let woken = queue.len().min(permits as usize);
            (0..woken).for_each(|_| queue.wake_one());
        }
    }

    /// Whether this daemon is certainly the only one that issues permits.
    fn issues_permits(&self, now: Millis) -> bool {
        let lease = self.controller.lease_state();
        lease.is_holder() && now < lease.sole_until()
    }

    /// Time until the next permit can be issued for which a daemon waits.
    pub(super) fn until_next_permit(&self) -> Duration {
        let next = self.permits.next_step_at(self.cx.clock.now());
        next.map_or(Duration::MAX, |at| self.cx.clock.until(at))
    }
}
