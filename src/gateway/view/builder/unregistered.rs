//! Notices that a life gave before its registry entry was known. They were taken for those of its
//! predecessor, which had the same name and address.

use super::ViewBuilder;
use crate::{
    clock::Millis,
    gateway::{model::EndpointEntry, pause::RequestedPause},
};

/// Longest time before its registry entry is known for which a life is assumed to have served.
const MAX_UNREGISTERED: Millis = Millis(2_000);

/// Difference of two times that are each cut to whole milliseconds. No process restarts within it.
const CLOCK_RESOLUTION: Millis = Millis(1);

/// Notices that are attributed to the life that is being registered.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct EarlyNotices {
    pause: Option<RequestedPause>,
    leaving_since: Option<Millis>,
}

impl ViewBuilder {
    /// The notices that `entry`, of a later life than the known one, gave before it was known.
    ///
    /// Responses do not name their life. A notice is the later life's if a connection that was open
    /// then still is, since the end of the earlier life would have ended it, and if all connections
    /// had ended before. Where no such connection is left, the notice ends with the earlier life.
    pub(super) fn early_notices(&self, entry: &EndpointEntry, now: Millis) -> EarlyNotices {
        let known = self.endpoints.get(&entry.instance.name);
        let earlier = known.filter(|known| {
            known.entry.instance < entry.instance && known.entry.addr == entry.addr
        });
        let Some(backend) = earlier.and_then(|known| known.backend.as_ref()) else {
            return EarlyNotices::default();
        };
        let belongs_to_new_life = |at: Millis| {
            let age = now.since(at);
            let least_age = age - CLOCK_RESOLUTION;
            age <= MAX_UNREGISTERED && backend.pool.has_spanned(least_age.into())
        };
        let pause = backend.pause.in_progress(now);
        let leaving_since = backend.leaving_since();
        EarlyNotices {
            pause: pause.filter(|pause| belongs_to_new_life(pause.started)),
            leaving_since: leaving_since.filter(|since| belongs_to_new_life(*since)),
        }
    }

    /// Applies notices to the life that was registered under `name`.
    pub(super) fn apply_early_notices(&mut self, name: &str, early: EarlyNotices, now: Millis) {
        let Some(known) = self.endpoints.get(name) else {
            return;
        };
        let (instance, service) = (known.entry.instance.clone(), known.entry.service.clone());
        if let Some(since) = early.leaving_since {
            known.life.record_response_of_run(since, now);
        }
        if let Some(pause) = early.pause {
            let count = self.state_of(&service).pause_counter();
            self.pauses.of(&instance, &service, &count).inherit(pause);
        }
        if early.pause.is_some() || early.leaving_since.is_some() {
            log::info!(target: "health", endpoint:% = instance.name,
                started = instance.started_at_ms, service:% = service,
                paused = early.pause.is_some(), leaves = early.leaving_since.is_some();
                "Endpoint gave notices before it was registered.");
        }
    }
}
