//! Decayed distribution of the work of a class, in a histogram with logarithmic buckets.

/// Number of buckets. The last one begins at 2^15.5 ms, about 46 s.
const BUCKETS: usize = 32;
/// Buckets for each doubling.
const BUCKETS_PER_OCTAVE: f64 = 2.0;
/// Total weight at which all weights are halved.
const MAX_WEIGHT: f64 = 100.0;
/// Weight of the sample of twice the age that is added when the rest of a request is estimated.
const RESIDUAL_PRIOR_WEIGHT: f64 = 0.5;

/// Distribution of work, in milliseconds. The latest 50 to 100 samples count.
#[derive(Clone, Debug, Default)]
pub struct Distribution {
    weights: [f32; BUCKETS],
    weight: f64,
    sum: f64,
}

impl Distribution {
    /// Adds a sample.
    pub fn add(&mut self, work_ms: f64) {
        let work_ms = work_ms.max(1.0);
        if self.weight >= MAX_WEIGHT {
            self.decay(0.5);
        }
        self.weights[bucket_of(work_ms)] += 1.0;
        self.weight += 1.0;
        self.sum += work_ms;
    }

    /// Multiplies the weight of past samples by `factor`.
    pub fn decay(&mut self, factor: f64) {
        self.weights.iter_mut().for_each(|w| *w *= factor as f32);
        self.weight *= factor;
        self.sum *= factor;
    }

    /// Decayed number of samples.
    pub fn weight(&self) -> f64 {
        self.weight
    }

    /// The mean, with a prior of `prior_weight` samples of `prior_ms`.
    pub fn mean_ms(&self, prior_weight: f64, prior_ms: f64) -> f64 {
        (self.sum + prior_weight * prior_ms) / (self.weight + prior_weight)
    }

    /// Lower end of the bucket with this quantile; 0 without samples.
    pub fn low_quantile_ms(&self, quantile: f64) -> f64 {
        let mut left = quantile * self.weight;
        for (bucket, weight) in self.weights.iter().enumerate() {
            left -= f64::from(*weight);
            if left < 0.0 {
                return start_of(bucket);
            }
        }
        0.0
    }

    /// Upper end of the bucket with this quantile; 0 without samples.
    pub fn high_quantile_ms(&self, quantile: f64) -> f64 {
        let mut left = (1.0 - quantile) * self.weight;
        for (bucket, weight) in self.weights.iter().enumerate().rev() {
            left -= f64::from(*weight);
            if left < 0.0 {
                return start_of(bucket + 1);
            }
        }
        0.0
    }

    /// Expected rest of a request that has been running for `age_ms`: the mean residual of longer
    /// samples. Without any, it is expected to run as long again.
    pub fn residual_ms(&self, age_ms: f64) -> f64 {
        let mut weight = RESIDUAL_PRIOR_WEIGHT;
        let mut rest = RESIDUAL_PRIOR_WEIGHT * age_ms;
        for bucket in bucket_of(age_ms.max(1.0))..BUCKETS {
            let (start, end) = (start_of(bucket), start_of(bucket + 1));
            let from = age_ms.clamp(start, end);
            let longer = f64::from(self.weights[bucket]) * (end - from) / (end - start);
            weight += longer;
            rest += longer * ((from + end) / 2.0 - age_ms);
        }
        rest / weight
    }
}

fn bucket_of(work_ms: f64) -> usize {
    ((work_ms.log2() * BUCKETS_PER_OCTAVE) as usize).min(BUCKETS - 1)
}

fn start_of(bucket: usize) -> f64 {
    (bucket as f64 / BUCKETS_PER_OCTAVE).exp2()
}
