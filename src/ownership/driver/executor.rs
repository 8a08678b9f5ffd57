//! Carries out the actions of controllers; store and network operations run in separate tasks.

use super::{Delivery, DriverContext};
use crate::{
    entry::directory::DirectoryUpdate,
    ownership::{
        controller::{Action, Event},
        row::{assignment_prefix, controller_row_name},
        timing::{GRANT_TIMEOUT, READ_TIMEOUT},
    },
    store::StoreError,
    target_api::{GRANTS_PATH, GrantReply, GrantRequest},
    world::{GroupId, Link, VmName},
};
use http::Method;
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot};

/// Carries out actions and delivers the resulting events to the driver.
pub(super) struct ActionExecutor {
    context: DriverContext,
    tx: mpsc::Sender<Delivery>,
}

impl ActionExecutor {
    pub fn new(context: DriverContext, tx: mpsc::Sender<Delivery>) -> Self {
        Self { context, tx }
    }

    /// Carries out `action` for the controller of `group`. Must be called in the driver's runtime.
    pub fn execute(&self, group: &GroupId, action: Action) {
        match action {
            Action::ReadRow => self.read_row(group),
            Action::ReadAssignments => self.read_assignments(group),
            Action::Commit {
                operation,
                transaction,
            } => {
                let store = self.context.store.clone();
                self.spawn_task(group, async move {
                    let outcome = store.commit(&transaction).await;
                    Event::CommitCompleted { operation, outcome }
                });
            }
            Action::Grant {
                target,
                addr,
                request,
            } => self.grant(group, target, addr, request),
            Action::GrantFront {
                front,
                target,
                request,
            } => self.grant_front(group, front, target, request),
            Action::RequestHold { to, request } => {
                let (tx, group) = (self.tx.clone(), group.clone());
                let deliver = Box::new(move |reply| {
                    // If the queue is full, the reply is dropped and the controller repeats the
                    // request.
                    let _ = tx.try_send((group, Event::HoldReplied(reply)));
                });
                (self.context.send_hold)(to, request, deliver);
            }
            Action::Publish(table) => self.context.directory.submit(DirectoryUpdate::Table(table)),
            Action::Log(level, line) => log::log!(target: "ownership", level, "{line}"),
        }
    }

    /// Spawns `task` and delivers the event that it returns.
    fn spawn_task(&self, group: &GroupId, task: impl Future<Output = Event> + Send + 'static) {
        let (tx, group) = (self.tx.clone(), group.clone());
        tokio::spawn(async move {
            let event = task.await;
            // Fails only if the driver has ended.
            let _ = tx.send((group, event)).await;
        });
    }

    fn read_row(&self, group: &GroupId) {
        let store = self.context.store.clone();
        let name = controller_row_name(group);
        self.spawn_task(group, async move {
            let read = tokio::time::timeout(READ_TIMEOUT.into(), store.read_row(&name));
            Event::RowRead(read.await.unwrap_or_else(|_| {
                let limit = format!("no answer within {READ_TIMEOUT}");
                Err(StoreError::Unavailable(limit))
            }))
        });
    }

    fn read_assignments(&self, group: &GroupId) {
        let store = self.context.store.clone();
        let prefix = assignment_prefix(group);
        self.spawn_task(group, async move {
            Event::AssignmentsRead(store.read_rows(&prefix).await)
        });
    }

    fn grant_front(&self, group: &GroupId, front: Link, target: VmName, request: GrantRequest) {
        let (tx, rx) = oneshot::channel();
        let (epoch, sequence) = (request.controller_epoch, request.sequence);
        let deliver = Box::new(move |reply| {
            // Fails only after the time-out.
            let _ = tx.send(reply);
        });
        (self.context.send_grant)(front, target.clone(), request, deliver);
        self.spawn_task(group, async move {
            let reply = tokio::time::timeout(GRANT_TIMEOUT.into(), rx).await;
            Event::GrantCompleted {
                target,
                epoch,
                sequence,
                reply: reply.ok().and_then(Result::ok).flatten(),
            }
        });
    }

    fn grant(&self, group: &GroupId, target: VmName, addr: SocketAddr, request: GrantRequest) {
        let http = self.context.http.clone();
        self.spawn_task(group, async move {
            let (epoch, sequence) = (request.controller_epoch, request.sequence);
            let body = serde_json::to_vec(&request).expect("a grant is valid JSON");
            let limit = GRANT_TIMEOUT.into();
            let answer = http
                .send(Method::POST, addr, GRANTS_PATH, body, limit)
                .await;
            let reply: Option<GrantReply> = match answer {
                Ok((status, body)) if status.is_success() => serde_json::from_slice(&body).ok(),
                _ => None,
            };
            Event::GrantCompleted {
                target,
                epoch,
                sequence,
                reply,
            }
        });
    }
}
