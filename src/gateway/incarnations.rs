//! Which incarnations of daemons have ended, as the reports of later ones show.

use crate::{
    collections::Map,
    world::{Incarnation, VmName},
};

/// What a report shows of the incarnation that sent it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reported {
    /// The report may be a late one of an incarnation that has ended.
    Unsettled,
    /// The incarnation is the present one of its daemon.
    Settled {
        /// The incarnation before it, which has ended, if this is the first sign of it.
        ended: Option<Incarnation>,
    },
}

/// Incarnations of the daemons that report to this one.
///
/// Incarnations are random numbers without an order, and a report may arrive after the end of its
/// sender and after the first report of the next one. An incarnation therefore counts as present
/// once two reports of it have arrived in a row.
#[derive(Debug, Default)]
pub struct Incarnations {
    daemons: Map<VmName, Known>,
}

#[derive(Debug)]
struct Known {
    last_reported: Incarnation,
    present: Option<Incarnation>,
}

impl Incarnations {
    /// Records a report of a daemon.
    pub fn record(&mut self, name: &VmName, incarnation: Incarnation) -> Reported {
        let Some(known) = self.daemons.get_mut(name) else {
            let known = Known {
                last_reported: incarnation,
                present: None,
            };
            self.daemons.insert(name.clone(), known);
            return Reported::Unsettled;
        };
        if std::mem::replace(&mut known.last_reported, incarnation) != incarnation {
            return Reported::Unsettled;
        }
        let before = known.present.replace(incarnation);
        Reported::Settled {
            ended: before.filter(|before| *before != incarnation),
        }
    }

    /// Forgets the daemons for which `is_kept` is false.
    pub fn retain(&mut self, is_kept: impl Fn(&VmName) -> bool) {
        self.daemons.retain(|name, _| is_kept(name));
    }
}
