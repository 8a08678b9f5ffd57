//! Which members of a service are used while some of them leave or are in an evacuated zone.

use crate::{
    clock::Millis,
    gateway::{
        model::Key,
        view::{Member, ServiceView},
    },
};

/// Members that requests without a key are sent to: those that do not leave. If none of these can
/// serve, leaving ones are used until their drain time ends. Members in evacuated zones are not used.
pub fn usable_members(service: &ServiceView, now: Millis) -> Vec<&Member> {
    let (leaving, staying): (Vec<&Member>, Vec<&Member>) = service
        .members
        .iter()
        .filter(|member| !member.is_evacuated)
        .partition(|member| member.is_leaving());
    if staying.iter().any(|member| can_serve(member, now)) {
        return staying;
    }
    let is_open = |member: &&Member| member.backend.is_open(now);
    let open: Vec<&Member> = leaving.into_iter().filter(is_open).collect();
    if open.iter().any(|member| can_serve(member, now)) {
        return open;
    }
    staying.into_iter().chain(open).collect()
}

/// Whether there are [`usable_members`].
pub fn has_usable_member(service: &ServiceView, now: Millis) -> bool {
    let mut members = service.members.iter().filter(|m| !m.is_evacuated);
    members.any(|member| !member.is_leaving() || member.backend.is_open(now))
}

fn can_serve(member: &Member, now: Millis) -> bool {
    let backend = &member.backend;
    !backend.is_ejected(now)
        && !backend.is_replaced(now)
        && backend.pause.blocked_until(now).is_none()
}

/// Whether `key` certainly has no owner for now. Its owner leaves or is evacuated, must not be used any
/// more, and the daemon would not learn of a successor, because it has no contact to the controller or
/// the store is down; or there is none, because all members are in evacuated zones.
pub fn is_unserved(service: &ServiceView, key: Key, now: Millis) -> bool {
    let owner = service.member_of(key).map(|(_, member)| member);
    let is_closed = |member: &Member| {
        (member.is_leaving() || member.is_evacuated) && !member.backend.is_open(now)
    };
    let is_all_evacuated = || {
        let mut members = service.members.iter();
        members.len() > 0 && members.all(|member| member.is_evacuated)
    };
    match owner {
        Some(owner) => is_closed(owner) && (service.is_cut_off || is_all_evacuated()),
        None => is_all_evacuated(),
    }
}

/// When the keys of `key`'s leaving owner will have moved; `None` if the owner is still used, if the
/// time is over, or if that cannot be told.
pub fn keys_moved_by(service: &ServiceView, key: Key, now: Millis) -> Option<Millis> {
    let (_, member) = service.member_of(key)?;
    let moved_by = member.backend.leaving.moved_by()?;
    (!member.backend.is_open(now) && now < moved_by).then_some(moved_by)
}
