//! Accounting of requests, against a model.

use super::*;
use proptest::prelude::*;

#[derive(Clone, Debug)]
enum Op {
    Start(usize),
    Complete(usize, u8),
}

fn op() -> impl Strategy<Value = Op> {
    prop_oneof![
        (0..5_usize).prop_map(Op::Start),
        (any::<usize>(), 0..5_u8).prop_map(|(n, e)| Op::Complete(n, e))
    ]
}

proptest! {
    #![proptest_config(ProptestConfig { rng_seed: proptest::test_runner::RngSeed::Fixed(5), failure_persistence: None, ..ProptestConfig::with_cases(256) })]

    /// In any order of starts and completions, outstanding is the number of guards, and each completion counts in one place.
    #[test]
    fn outstanding_is_the_number_of_guards(ops in prop::collection::vec(op(), 0..200)) {
        const CLASSES: usize = 3;
        let accounting = RequestAccounting::new(CLASSES);
        let mut active: Vec<(usize, ActiveRequest)> = Vec::new();
        let mut model = [RequestCounts::default(); CLASSES];
        let (mut abandoned, mut unclassed) = (0, 0);
        for op in ops {
            match op {
                Op::Start(class) => active.push((class, accounting.start(class))),
                Op::Complete(n, end) if !active.is_empty() => {
                    let (class, request) = active.swap_remove(n % active.len());
                    let mut none = RequestCounts::default();
                    let counts = model.get_mut(class).unwrap_or(&mut none);
                    match end {
                        0 => { request.succeed(); counts.succeeded += 1 }
                        1 => { request.reject(); counts.rejected += 1 }
                        2 => { request.abort(); counts.aborted += 1 }
                        3 => { request.abandon(); counts.abandoned += 1; abandoned += 1 }
                        _ => { drop(request); counts.aborted += 1 }
                    }
                    unclassed += u64::from(class >= CLASSES);
                }
                Op::Complete(..) => {}
            }
            prop_assert_eq!(accounting.outstanding(), active.len() as u64);
            for (class, counts) in model.iter().enumerate() {
                prop_assert_eq!(accounting.counts(class), Some(*counts));
            }
            prop_assert_eq!((accounting.abandoned.get(), accounting.unclassed.get()), (abandoned, unclassed));
        }
        prop_assert_eq!(accounting.counts(CLASSES), None);
    }
}
