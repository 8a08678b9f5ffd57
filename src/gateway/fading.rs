//! A mean in which the past counts less and less.

/// Samples, and their sum, with the past fading.
#[derive(Clone, Copy, Debug, Default)]
pub struct FadingMean {
    /// Number of samples.
    pub count: f64,
    /// Their sum.
    pub sum: f64,
}

impl FadingMean {
    /// Takes in `count` samples.
    pub fn add(&mut self, count: u32, sum: f64) {
        self.count += f64::from(count);
        self.sum += sum;
    }

    /// Lets past samples count this share of what they did.
    pub fn fade(&mut self, share: f64) {
        self.count *= share;
        self.sum *= share;
    }

    /// The mean if `assumed` further samples had the value `usual`.
    pub fn mean(self, assumed: f64, usual: f64) -> f64 {
        (self.sum + assumed * usual) / (self.count + assumed)
    }
}
