//! An exponentially decayed mean.

/// Number and sum of samples, both decayed exponentially.
#[derive(Clone, Copy, Debug, Default)]
pub struct DecayingMean {
    /// Decayed number of samples.
    pub count: f64,
    /// Decayed sum of the samples.
    pub sum: f64,
}

impl DecayingMean {
    /// Adds `count` samples with the total `sum`.
    pub fn add(&mut self, count: u32, sum: f64) {
        self.count += f64::from(count);
        self.sum += sum;
    }

    /// Multiplies the weight of all past samples by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.count *= factor;
        self.sum *= factor;
    }

    /// The mean, with a prior of `prior_count` samples of the value `prior_mean`.
    pub fn mean(self, prior_count: f64, prior_mean: f64) -> f64 {
        (self.sum + prior_count * prior_mean) / (self.count + prior_count)
    }
}
