//! Chooses an endpoint for a request that is not divided by key.

/// Largest share of a service's endpoints that is set aside as suspect. Failures that look
/// alike at more endpoints have a common cause, and the rest could not carry the load.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Reported load from which an endpoint counts as overloaded.
const OVERLOAD_THRESHOLD: f64 = 0.95;
/// Weight of the reported load against own observations.
const LOAD_WEIGHT: f64 = 0.5;

/// How an endpoint is chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// The cheaper of two drawn at random, so that daemons with the same hints do not all choose
    /// the same endpoint.
    #[default]
    TwoChoices,
    /// The cheapest.
    Cheapest,
    /// Any.
    Random,
}

/// What is known of an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// It is in the daemon's own zone.
    pub same_zone: bool,
    /// Requests of this daemon that it runs.
    pub in_flight: u32,
    /// Requests of this daemon that wait for it.
    pub queued: u32,
    /// In-flight limit of this daemon.
    pub limit: f64,
    /// Average latency, in milliseconds.
    pub latency_ms: f64,
    /// Reported load, from 0.0 to 1.0.
    pub load: f64,
    /// Share of requests that it is ready for, up to 1.0.
    pub slow_start_weight: f64,
    /// Failures in a row.
    pub failures: u32,
    /// It should be left alone for the time being.
    pub ejected: bool,
    /// It gets no new work.
    pub leaving: bool,
    /// This request was already sent there.
    pub tried: bool,
}

impl Candidate {
    fn is_overloaded(&self) -> bool {
        f64::from(self.in_flight + self.queued) >= self.limit.max(1.0)
            || self.load >= OVERLOAD_THRESHOLD
    }

    /// Expected time until a new request would end, with reported load as a hint.
    fn cost(&self) -> f64 {
        let waiting = f64::from(self.in_flight + self.queued + 1) / self.limit.max(1.0);
        waiting.max(1.0) * self.latency_ms * (1.0 + LOAD_WEIGHT * self.load)
    }
}

/// Chooses one of `candidates` and returns its index.
///
/// `random` gives numbers from 0.0 (inclusive) to 1.0 (exclusive).
pub fn select(
    policy: SelectionPolicy,
    candidates: &[Candidate],
    mut random: impl FnMut() -> f64,
) -> Option<usize> {
    let usable = usable(candidates);
    let local = prefer(candidates, &usable, |c| c.same_zone && !c.is_overloaded());
    let preferred = prefer(candidates, &local, |c| !c.is_overloaded());
    match policy {
        SelectionPolicy::Random => draw_weighted(candidates, &preferred, &mut random),
        SelectionPolicy::Cheapest => cheapest(candidates, &preferred),
        SelectionPolicy::TwoChoices => {
            let first = draw_weighted(candidates, &preferred, &mut random)?;
            let others: Vec<usize> = preferred.iter().copied().filter(|&i| i != first).collect();
            let second = draw_weighted(candidates, &others, &mut random).unwrap_or(first);
            cheapest(candidates, &[first, second])
        }
    }
}

/// Endpoints that may be used at all. Untried ones are preferred.
fn usable(candidates: &[Candidate]) -> Vec<usize> {
    let accepting: Vec<usize> = (0..candidates.len())
        .filter(|&i| !candidates[i].leaving)
        .collect();
    let mut ejected: Vec<usize> = accepting
        .iter()
        .copied()
        .filter(|&i| candidates[i].ejected)
        .collect();
    ejected.sort_by_key(|&i| std::cmp::Reverse(candidates[i].failures));
    ejected.truncate((accepting.len() as f64 * MAX_EJECTED_SHARE) as usize);
    let remaining: Vec<usize> = accepting
        .into_iter()
        .filter(|i| !ejected.contains(i))
        .collect();
    prefer(candidates, &remaining, |c| !c.tried)
}

/// The candidates that satisfy `wanted`, or all of them if none does.
fn prefer(
    candidates: &[Candidate],
    among: &[usize],
    wanted: impl Fn(&Candidate) -> bool,
) -> Vec<usize> {
    let found: Vec<usize> = among
        .iter()
        .copied()
        .filter(|&i| wanted(&candidates[i]))
        .collect();
    if found.is_empty() {
        among.to_vec()
    } else {
        found
    }
}

/// Draws one at random, weighted by how far each has ramped up.
fn draw_weighted(
    candidates: &[Candidate],
    among: &[usize],
    random: &mut impl FnMut() -> f64,
) -> Option<usize> {
    let total: f64 = among.iter().map(|&i| candidates[i].slow_start_weight).sum();
    let mut rest = random() * total;
    for &i in among {
        rest -= candidates[i].slow_start_weight;
        if rest < 0.0 {
            return Some(i);
        }
    }
    among.last().copied()
}

fn cheapest(candidates: &[Candidate], among: &[usize]) -> Option<usize> {
    among
        .iter()
        .copied()
        .min_by(|&a, &b| candidates[a].cost().total_cmp(&candidates[b].cost()))
}
