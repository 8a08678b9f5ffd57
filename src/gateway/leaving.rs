//! Notices that a life of an endpoint leaves, and until when the endpoint is used after them.
//!
//! A notice comes from the registry, from a response of the endpoint or from the report of another
//! daemon. The drain time runs from the earliest one and ends with the life.

pub mod choice;
pub mod life;
pub mod lives;
pub mod run;

use super::{model::EndpointInstance, platform::HeaderNames};
use crate::clock::Millis;
use http::HeaderMap;
use serde::{Deserialize, Serialize};
use strum::Display;

/// How long requests for the keys of a leaving endpoint are still sent to it after the registry's
/// notice, while the keys move to other owners.
const KEYED_LEAVING_GRACE: Millis = Millis(800);
/// Subtracted from an endpoint's drain time, so that a request reaches the endpoint before the
/// drain time ends.
pub(super) const SENDING_MARGIN: Millis = Millis(600);

/// Where a notice comes from.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "lowercase")]
pub enum Source {
    /// The endpoint's registry entry.
    Registry,
    /// A response of the endpoint.
    Response,
    /// The report of another daemon, which has seen such a response, or the controller's reply, which
    /// passes such reports on.
    Report,
}

/// A notice that a life leaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Notice {
    /// Where it comes from.
    pub source: Source,
    /// Longest time for which the endpoint can have been leaving at `seen_at`. This is not a point in
    /// time, because the endpoint may have given the notice before the daemon's clock started.
    pub age: Millis,
    /// When this daemon learned of it.
    pub seen_at: Millis,
}

impl Notice {
    /// Age of the notice at `at`; zero before the endpoint gave it.
    pub fn age_at(&self, at: Millis) -> Millis {
        (at + self.age).since(self.seen_at)
    }

    /// When this time has passed since the notice; the start of the clock if that was earlier.
    pub fn plus(&self, time: Millis) -> Millis {
        (self.seen_at + time).since(self.age)
    }

    /// Earliest time at which the endpoint can have given the notice, in milliseconds; negative
    /// before the start of the daemon's clock.
    fn given_at_ms(&self) -> i128 {
        i128::from(self.seen_at.0) - i128::from(self.age.0)
    }
}

/// Until when a leaving endpoint is used.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Deadlines {
    /// Requests without a key, if no other endpoint can serve them.
    pub until: Millis,
    /// Requests for keys that the endpoint owns.
    pub keyed_until: Millis,
}

/// A life that a daemon has seen leaving, as it reports it to the controller, and as the controller
/// passes it on in its replies.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LeavingLife {
    /// Name and start time.
    pub instance: EndpointInstance,
    /// Time since the first response that said so, when the message was sent.
    pub age: Millis,
}

/// The notices of one life.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Notices {
    by_source: [Option<Notice>; 3],
    /// Whether the controller has acknowledged a report of the life.
    is_reported: bool,
}

impl Notices {
    /// Records a notice. The first one of a source stays, except that a later one that goes back
    /// further moves the start of the drain time forward. True if it is the first of its source.
    pub fn record(&mut self, notice: Notice) -> bool {
        match &mut self.by_source[notice.source as usize] {
            Some(known) => {
                known.age = known.age.max(notice.age_at(known.seen_at));
                false
            }
            none => {
                *none = Some(notice);
                true
            }
        }
    }

    /// Withdraws the registry's notice, because the registry says ready. It stays if there is
    /// another notice: the registry is then only late. True if it was withdrawn.
    pub fn withdraw_registry(&mut self) -> bool {
        let registry = &self.by_source[Source::Registry as usize];
        let is_only = registry.is_some() && self.by_source.iter().flatten().count() == 1;
        if is_only {
            *self = Self::default();
        }
        is_only
    }

    /// Records that the controller knows that the life leaves.
    pub fn set_reported(&mut self) {
        self.is_reported = true;
    }

    /// The earliest notice; `None` if the life does not leave.
    pub fn first(&self) -> Option<Notice> {
        let notices = self.by_source.iter().flatten();
        notices.min_by_key(|notice| notice.given_at_ms()).copied()
    }

    /// The earliest notice that stems from a response of the endpoint, to whichever daemon; `None` if
    /// there is none.
    pub fn first_response(&self) -> Option<Notice> {
        let responses = [Source::Response, Source::Report].map(|source| self.from_source(source));
        let responses = responses.into_iter().flatten();
        responses.min_by_key(Notice::given_at_ms)
    }

    /// The notice of a source.
    pub fn from_source(&self, source: Source) -> Option<Notice> {
        self.by_source[source as usize]
    }

    /// Until when the endpoint is used; `None` if it does not leave.
    pub fn deadlines(&self, drain_time: Millis) -> Option<Deadlines> {
        let until = self.first()?.plus(drain_time) - SENDING_MARGIN;
        let registry = self.from_source(Source::Registry);
        let grace_end = registry.map(|notice| notice.seen_at + KEYED_LEAVING_GRACE);
        Some(Deadlines {
            until,
            keyed_until: grace_end.map_or(until, |end| end.min(until)),
        })
    }

    /// When the keys of the life will have moved; `None` if that cannot be told, because the
    /// controller may not know that the life leaves.
    pub fn moved_by(&self, drain_time: Millis) -> Option<Millis> {
        let is_known = self.is_reported
            || self.from_source(Source::Registry).is_some()
            || self.from_source(Source::Report).is_some();
        let first = self.first().filter(|_| is_known)?;
        Some(first.plus(drain_time))
    }
}

/// Whether a response says that the endpoint leaves; `None` if it names another endpoint, and so says
/// nothing about this one. The response must be proved to be the answer to a request to this
/// endpoint.
pub fn says_leaving(
    headers: &HeaderMap,
    names: &HeaderNames,
    instance: &EndpointInstance,
) -> Option<bool> {
    let responder = headers.get(&names.endpoint);
    if responder.is_some_and(|name| name != &*instance.name) {
        return None;
    }
    let mut values = headers.get_all(&names.leaving).iter();
    Some(values.any(|value| value.as_bytes().trim_ascii() == b"1"))
}
