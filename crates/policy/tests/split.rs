//! Weighted round robin between services.

use dotterelhinge_policy::split::Split;
use googletest::prelude::*;
use proptest::prelude::*;
use rand::{SeedableRng, rngs::SmallRng};

proptest! {
    // Guards against a split that meets its weights only on average over many
    // requests.
    #[test]
    fn each_service_gets_its_share(weights in prop::collection::vec(1u32..100, 1..5), seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let total: u32 = weights.iter().sum();
        let mut split = Split::new(weights.iter().map(|w| f64::from(*w)), &mut rng);
        let mut chosen = vec![0u32; weights.len()];
        let requests = total * 3;
        for _ in 0..requests {
            chosen[split.choose()] += 1;
        }
        for (position, weight) in weights.iter().enumerate() {
            let expected = i64::from(weight * 3);
            prop_assert!((i64::from(chosen[position]) - expected).abs() <= 2);
        }
    }
}

// Guards against requests to a service with weight 0.
#[gtest]
fn a_service_with_weight_0_gets_no_requests() {
    let mut rng = SmallRng::seed_from_u64(1);
    let mut split = Split::new([0.0, 3.0], &mut rng);
    for _ in 0..50 {
        expect_that!(split.choose(), eq(1));
    }
}
