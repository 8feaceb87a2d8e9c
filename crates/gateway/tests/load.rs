//! Replays of the load patterns that the choice of a backend server answers.

mod model;

use dotterelhinge_policy::{selection, spell};
use model::{Model, Scenario};

fn mean(scenario: &Scenario, choice: &selection::Settings, spell: &spell::Settings) -> [f64; 3] {
    let runs = 5;
    let mut sum = [0.0; 3];
    for seed in 1..=runs {
        let scenario = Scenario {
            seed,
            ..scenario.clone()
        };
        let result = Model::new(scenario, choice.clone(), spell.clone()).run();
        sum[0] += result.unserved();
        sum[1] += result.late();
        sum[2] += f64::from(result.sends) / f64::from(result.requests) - 1.0;
    }
    sum.map(|value| value / runs as f64)
}

fn loss(choice: &selection::Settings, spell: &spell::Settings) -> (f64, Vec<[f64; 3]>) {
    let rates = [110.0, 180.0, 245.0];
    let figures: Vec<_> = rates
        .iter()
        .map(|rate| {
            let scenario = Scenario {
                rate: *rate,
                ..Scenario::default()
            };
            mean(&scenario, choice, spell)
        })
        .collect();
    let loss = figures
        .iter()
        .map(|[unserved, late, _]| {
            let nines = unserved.max(0.005).ln() / 0.005f64.ln();
            0.65 * (unserved + 0.5 * late) + 0.35 * (1.0 - nines)
        })
        .sum::<f64>()
        / rates.len() as f64;
    (loss, figures)
}

#[test]
#[ignore = "prints figures for the choice of constants"]
fn sweep() {
    use rand::{RngExt, SeedableRng};
    let mut rng = rand::rngs::SmallRng::seed_from_u64(
        std::env::var("SEED")
            .ok()
            .and_then(|s| s.parse().ok())
            .unwrap_or(1),
    );
    let mut best = (selection::Settings::default(), spell::Settings::default());
    let (mut least, figures) = loss(&best.0, &best.1);
    println!("{least:.4} {figures:.4?}");
    for _ in 0..100 {
        let (mut choice, mut spell) = best.clone();
        let mut vary = |value: &mut f64| {
            if rng.random_bool(0.35) {
                *value *= rng.random_range(0.5..1.8);
            }
        };
        vary(&mut choice.margin);
        vary(&mut choice.used);
        vary(&mut choice.late);
        vary(&mut choice.spread);
        vary(&mut choice.overload);
        vary(&mut choice.doubt);
        let mut quick = 1.0 - spell.quick_failures;
        vary(&mut quick);
        spell.quick_failures = 1.0 - quick.min(0.5);
        let mut fails = 1.0 - spell.failing_failures;
        vary(&mut fails);
        spell.failing_failures = 1.0 - fails.min(0.5);
        let mut every = choice.test_every.as_secs_f64();
        vary(&mut every);
        choice.test_every = std::time::Duration::from_secs_f64(every);
        let (found, figures) = loss(&choice, &spell);
        if found < least {
            least = found;
            println!("{least:.4} {figures:.4?} {choice:?} {spell:?}");
            best = (choice, spell);
        }
    }
}
