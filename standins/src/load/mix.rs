//! Request mixes of the users: services, their shares, and callers.

use rand::Rng;
use std::{str::FromStr, sync::Arc};
use strum::{Display, EnumString};

/// Users with a predefined request mix.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, EnumString)]
#[strum(serialize_all = "kebab-case")]
pub enum MixName {
    /// Molehill Clearing: rounds by key, records and billing.
    Mittelland,
    /// Souk Kilo Vintage: listings by key, payments and scales.
    MaWest,
}

/// Share of one service in the mix.
#[derive(Clone, Debug, PartialEq)]
pub struct ServiceShare {
    /// Name of the service.
    pub service: Arc<str>,
    /// Relative frequency, above 0.
    pub weight: f64,
    /// Whether its requests are partitioned by key.
    pub keyed: bool,
    /// Share of requests that are not idempotent, from 0 to 1.
    pub non_idempotent: f64,
}

/// Share of one caller in the load.
#[derive(Clone, Debug, PartialEq)]
pub struct CallerShare {
    /// Value of the `x-caller` header.
    pub name: Arc<str>,
    /// Relative frequency, above 0.
    pub weight: f64,
}

impl FromStr for CallerShare {
    type Err = String;

    fn from_str(text: &str) -> Result<Self, String> {
        let (name, weight) = text.split_once('=').unwrap_or((text, "1"));
        let weight: f64 = weight.parse().map_err(|e| format!("{weight}: {e}"))?;
        if name.is_empty() || !(weight > 0.0 && weight.is_finite()) {
            return Err("expected NAME=WEIGHT with a weight above 0".into());
        }
        Ok(Self {
            name: name.into(),
            weight,
        })
    }
}

impl MixName {
    /// Services of the mix with their shares.
    pub fn services(self) -> Vec<ServiceShare> {
        let shares = match self {
            Self::Mittelland => [
                ("rounds", 6.0, true, 0.3),
                ("records", 3.0, false, 0.5),
                ("billing", 1.0, false, 0.2),
            ],
            Self::MaWest => [
                ("listings", 6.0, true, 0.1),
                ("payments", 2.0, false, 0.6),
                ("scales", 2.0, false, 0.6),
            ],
        };
        shares
            .into_iter()
            .map(|(service, weight, keyed, non_idempotent)| ServiceShare {
                service: service.into(),
                weight,
                keyed,
                non_idempotent,
            })
            .collect()
    }
}

/// Draws an index with a probability in proportion to its weight.
pub fn draw(rng: &mut impl Rng, weights: impl Iterator<Item = f64> + Clone) -> usize {
    let total: f64 = weights.clone().sum();
    let mut left = rng.random::<f64>() * total;
    let mut last = 0;
    for (i, weight) in weights.enumerate() {
        last = i;
        if left < weight {
            break;
        }
        left -= weight;
    }
    last
}
