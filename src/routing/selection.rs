//! Selects an endpoint for a request of a service that is not keyed.

/// Largest share of a service's endpoints that can be ejected at once. Failures at more endpoints
/// than that have a common cause, and the remaining endpoints could not carry the load.
const MAX_EJECTED_SHARE: f64 = 0.5;
/// Reported load from which an endpoint counts as overloaded, from 0.0 to 1.0.
const OVERLOAD_THRESHOLD: f64 = 0.95;
/// Weight of the reported load relative to this daemon's measurements.
const LOAD_WEIGHT: f64 = 0.5;

/// How an endpoint is selected.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum SelectionPolicy {
    /// Power of two choices: the cheaper of two random endpoints, so that daemons with the same
    /// information do not all select the same endpoint.
    #[default]
    TwoChoices,
    /// The endpoint with the lowest cost.
    Cheapest,
    /// A random endpoint.
    Random,
}

/// What this daemon knows about an endpoint.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Candidate {
    /// It is in the daemon's own zone.
    pub same_zone: bool,
    /// Requests of this daemon in flight there.
    pub in_flight: u32,
    /// Requests of this daemon that wait for it.
    pub queued: u32,
    /// This daemon's in-flight limit for it.
    pub limit: f64,
    /// EWMA of the latency, in milliseconds.
    pub latency_ms: f64,
    /// Reported load, from 0.0 to 1.0.
    pub load: f64,
    /// Selection weight during slow start, up to 1.0.
    pub slow_start_weight: f64,
    /// Consecutive failures.
    pub failures: u32,
    /// It is ejected as an outlier.
    pub ejected: bool,
    /// It is draining and gets no new requests.
    pub leaving: bool,
    /// An earlier attempt of this request went there.
    pub tried: bool,
}

impl Candidate {
    fn is_overloaded(&self) -> bool {
        f64::from(self.in_flight + self.queued) >= self.limit.max(1.0)
            || self.load >= OVERLOAD_THRESHOLD
    }

    /// Estimated time until a new request would complete, in milliseconds, increased by the reported
    /// load.
    fn cost(&self) -> f64 {
        let waiting = f64::from(self.in_flight + self.queued + 1) / self.limit.max(1.0);
        waiting.max(1.0) * self.latency_ms * (1.0 + LOAD_WEIGHT * self.load)
    }
}

/// Selects one of `candidates` and returns its index; `None` if all of them are leaving.
///
/// `random` returns numbers from 0.0 (inclusive) to 1.0 (exclusive).
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

/// Indices of the endpoints that may be used: neither leaving nor ejected, and not tried before if
/// possible. Beyond [`MAX_EJECTED_SHARE`], the ejected endpoints with the fewest failures are used.
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

/// The indices in `among` whose candidates satisfy `wanted`, or all of them if none does.
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

/// Picks an index at random, weighted by slow start.
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
