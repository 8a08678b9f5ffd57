//! Paces of endpoints: gathered on the controller, taken in on every daemon.

use super::Control;
use crate::{
    clock::Millis,
    gateway::{pace::PaceNews, platform::Platform},
};

/// Time between sums of what all daemons saw of the endpoints' paces.
const PACES_EVERY: Millis = Millis(1_500);

impl<P: Platform> Control<P> {
    /// Sums up what all daemons saw of the endpoints' paces.
    pub(super) fn refresh_paces(&mut self, now: Millis) {
        let mine = self.controller.term().is_mine();
        if !mine || now.since(self.paces_refreshed) < PACES_EVERY {
            return;
        }
        self.paces_refreshed = now;
        let known = self.builder.confirmed_names().into_iter().collect();
        self.paces.refresh(&known, now);
        let news = self.paces_news(self.paces_known);
        if let Some((slowest, pace)) = news.paces.iter().max_by(|a, b| a.1.total_cmp(&b.1)) {
            log::info!(target: "health", version = news.version, changed = news.paces.len(),
                slowest:% = slowest, pace:? = pace; "Paces changed.");
        }
        self.take_paces(&news);
    }

    /// Epoch of the controller lease; 0 if there is none.
    fn epoch(&self) -> u64 {
        self.controller.term().row().map_or(0, |row| row.epoch)
    }

    /// What a daemon has to take in that knows the paces of an epoch up to a version.
    pub(super) fn paces_news(&self, (known_epoch, version): (u64, u64)) -> PaceNews {
        let epoch = self.epoch();
        let known = if known_epoch == epoch { version } else { 0 };
        self.paces.after(epoch, known)
    }

    /// Takes in what the controller tells.
    pub(super) fn take_paces(&mut self, news: &PaceNews) {
        self.builder.set_paces(&news.paces);
        self.paces_known = (news.epoch, news.version);
    }
}
