//! Selects the daemons to contact: zone delegates, partners, random members and seed nodes.

use super::{MemberState, Membership, SeedNode};
use crate::{
    peer::message::MemberReport,
    world::{Link, VmName, ZoneName},
};
use rand::{Rng, seq::IteratorRandom};

impl Membership {
    /// The delegate of `zone`: the live daemon there with the lowest name that is not stopping.
    pub fn delegate(&self, zone: &ZoneName) -> Option<&Link> {
        let own = (*zone == self.own.zone && !self.stopping).then_some(&self.own);
        self.live()
            .filter(|report| report.link.zone == *zone && !report.stopping)
            .map(|report| &report.link)
            .chain(own)
            .min_by(|a, b| a.name.cmp(&b.name))
    }

    /// Whether this daemon is the delegate of its zone.
    pub fn is_delegate(&self) -> bool {
        self.delegate(&self.own.zone) == Some(&self.own)
    }

    /// The delegates of all zones, this daemon included.
    pub fn delegates(&self) -> Vec<Link> {
        let mut zones: Vec<&ZoneName> = self.live().map(|report| &report.link.zone).collect();
        zones.push(&self.own.zone);
        zones.sort();
        zones.dedup();
        zones
            .into_iter()
            .filter_map(|zone| self.delegate(zone).cloned())
            .collect()
    }

    /// The peers with which this daemon syncs continuously: for a delegate, the other delegates and
    /// the controllers; for any other daemon, the delegate of its zone.
    pub fn partners(&self) -> Vec<Link> {
        if let Some(delegate) = self.delegate(&self.own.zone)
            && delegate.name != self.own.name
        {
            return vec![delegate.clone()];
        }
        let mut partners = self.delegates();
        let controllers = self.live().filter(|report| !report.controls.is_empty());
        partners.extend(controllers.map(|report| report.link.clone()));
        partners.retain(|link| link.name != self.own.name);
        partners.sort_by(|a, b| a.name.cmp(&b.name));
        partners.dedup();
        partners
    }

    /// A random live member other than `except`, to contact when the partner `except` fails.
    pub fn random_live(&self, except: &VmName, rng: &mut impl Rng) -> Option<Link> {
        self.live()
            .filter(|report| report.link.name != *except)
            .map(|report| report.link.clone())
            .choose(rng)
    }

    /// A random seed node that is not a live member, to join or to end a network partition.
    pub fn random_seed_node(&self, rng: &mut impl Rng) -> Option<SeedNode> {
        self.seeds
            .iter()
            .filter(|seed| self.state(&seed.name) != Some(MemberState::Live))
            .choose(rng)
            .cloned()
    }

    /// Whether no other daemon is live.
    pub fn is_alone(&self) -> bool {
        self.live().next().is_none()
    }

    fn live(&self) -> impl Iterator<Item = &MemberReport> {
        self.members
            .values()
            .filter(|member| member.state == MemberState::Live)
            .map(|member| &member.report)
    }
}
